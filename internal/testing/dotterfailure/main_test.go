package dotterfailure

import (
	"flag"
	"os"
	"testing"

	// Makes the daemon's code a dependency of this package, so that a change to it
	// invalidates cached test results.
	_ "github.com/dotterelusher/dotterelusher/internal/server/dotterdaemon"
	"github.com/dotterelusher/dotterelusher/internal/testing/dotterharness"
)

// maxParallelTests limits the tests that run in parallel; each runs up to nine processes.
const maxParallelTests = "4"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", maxParallelTests); err != nil {
		panic(err)
	}
	os.Exit(dotterharness.Run(m))
}
