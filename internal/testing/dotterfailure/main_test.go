package dotterfailure

import (
	"flag"
	"os"
	"testing"

	// The daemon's code, so that a test result kept from before a change of it isn't used again.
	_ "github.com/dotterelusher/dotterelusher/internal/server/dotterdaemon"
	"github.com/dotterelusher/dotterelusher/internal/testing/dotterharness"
)

// clustersAtOnce bounds the tests that run at a time; each has up to nine processes.
const clustersAtOnce = "4"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", clustersAtOnce); err != nil {
		panic(err)
	}
	os.Exit(dotterharness.Run(m))
}
