package dotterharness

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// PeakMemory returns the largest resident memory that the process has had, in bytes. Its error is ErrProcess.
func (p *Process) PeakMemory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	if err != nil {
		return 0, eris.Wrap(ErrProcess, err.Error())
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kb << 10, err
		}
	}
	return 0, eris.Wrap(ErrProcess, "no VmHWM")
}

// Descriptors returns the number of descriptors that the process has open. Its error is ErrProcess.
func (p *Process) Descriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	if err != nil {
		return 0, eris.Wrap(ErrProcess, err.Error())
	}
	return len(entries), nil
}
