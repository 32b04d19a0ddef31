package dotterload

import (
	"strings"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/tool/dottergenerator"
)

// errOutOfRange means that an option is out of its range.
var errOutOfRange = eris.New("an option is out of its range")

// bounds holds the options that run and compare share.
type bounds struct {
	Millis      int64  `long:"millis" value-name:"MS" default:"10000" description:"length of the run, 100 to 3600000 milliseconds"`
	Requests    int64  `long:"requests" value-name:"N" default:"1000000" description:"maximum number of requests, 1 to 100000000"`
	Outstanding int64  `long:"outstanding" value-name:"N" default:"10000" description:"maximum number of requests in flight, 1 to 100000"`
	Timeout     int64  `long:"timeout" value-name:"MS" default:"5000" description:"deadline of a request, 10 to 600000 milliseconds"`
	Seed        uint64 `long:"seed" value-name:"N" default:"1" description:"seed of the arrivals"`
	Report      string `long:"report" value-name:"FILE" description:"file for the report in JSON"`
}

func (b bounds) check() error {
	switch {
	case b.Millis < 100 || b.Millis > 3_600_000:
		return eris.Wrap(errOutOfRange, "--millis")
	case b.Requests < 1 || b.Requests > 100_000_000:
		return eris.Wrap(errOutOfRange, "--requests")
	case b.Outstanding < 1 || b.Outstanding > 100_000:
		return eris.Wrap(errOutOfRange, "--outstanding")
	case b.Timeout < 10 || b.Timeout > 600_000:
		return eris.Wrap(errOutOfRange, "--timeout")
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
		return eris.Wrap(errOutOfRange, "--path must start with a slash")
	}
	return nil
}
