package dotterload

import (
	"strings"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/tool/dottergenerator"
)

// errBounds means that an option is out of its range.
var errBounds = eris.New("an option is out of its range")

// bounds is the options that all runs have.
type bounds struct {
	Millis      int64  `long:"millis" value-name:"MS" default:"10000" description:"length of the run, 100 to 3600000 milliseconds"`
	Requests    int64  `long:"requests" value-name:"N" default:"1000000" description:"most requests, 1 to 100000000"`
	Outstanding int64  `long:"outstanding" value-name:"N" default:"10000" description:"most requests without an answer at a time, 1 to 100000"`
	Timeout     int64  `long:"timeout" value-name:"MS" default:"5000" description:"deadline of a request, 10 to 600000 milliseconds"`
	Seed        uint64 `long:"seed" value-name:"N" default:"1" description:"seed of the arrivals"`
	Report      string `long:"report" value-name:"FILE" description:"file for the report in JSON"`
}

func (b bounds) check() error {
	switch {
	case b.Millis < 100 || b.Millis > 3_600_000:
		return eris.Wrap(errBounds, "--millis")
	case b.Requests < 1 || b.Requests > 100_000_000:
		return eris.Wrap(errBounds, "--requests")
	case b.Outstanding < 1 || b.Outstanding > 100_000:
		return eris.Wrap(errBounds, "--outstanding")
	case b.Timeout < 10 || b.Timeout > 600_000:
		return eris.Wrap(errBounds, "--timeout")
	}
	return nil
}

func (b bounds) generator() dottergenerator.Bounds {
	return dottergenerator.Bounds{
		Millis:      dotterclock.Millis(b.Millis),
		Requests:    b.Requests,
		Outstanding: b.Outstanding,
		Seed:        b.Seed,
	}
}

func checkPath(path string) error {
	if !strings.HasPrefix(path, "/") {
		return eris.Wrap(errBounds, "--path must start with a slash")
	}
	return nil
}
