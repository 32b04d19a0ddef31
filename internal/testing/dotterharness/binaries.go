package dotterharness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/rotisserie/eris"
)

// Errors of the harness.
var (
	ErrBuild   = eris.New("harness: building the programs failed")
	ErrProcess = eris.New("harness: process failed")
)

// programs holds the result of the build, which runs once per test process.
var programs struct {
	once      sync.Once
	directory string
	err       error
}

// Run runs the tests of a package and removes the programs built for them.
func Run(m *testing.M) int {
	defer func() { os.RemoveAll(programs.directory) }()
	return m.Run()
}

// Binary returns the path of the named program, built from this source tree.
func Binary(name string) (string, error) {
	programs.once.Do(build)
	return filepath.Join(programs.directory, name), programs.err
}

func build() {
	programs.directory, programs.err = os.MkdirTemp("", "dotterharness")
	if programs.err != nil {
		return
	}
	module, err := exec.Command("go", "list", "-m", "-f", "{{.Path}}").Output()
	if err != nil {
		programs.err = eris.Wrap(ErrBuild, err.Error())
		return
	}
	path := string(module[:len(module)-1])
	arguments := []string{"build", "-o", programs.directory + "/", path + "/cmd/standin", path + "/cmd/dotterelusherd", path + "/cmd/dotterscheduler"}
	output, err := exec.Command("go", arguments...).CombinedOutput()
	if err != nil {
		programs.err = eris.Wrap(ErrBuild, fmt.Sprintf("%v: %s", err, output))
	}
}
