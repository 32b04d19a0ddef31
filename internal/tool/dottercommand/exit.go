package dottercommand

import (
	"errors"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dottercheck"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterclient"
)

// Exit codes.
const (
	ExitDone        = 0 // the command succeeded
	ExitRefused     = 1 // the daemon refused, or the task did not end as Done
	ExitUsage       = 2 // the command line or a file is faulty; nothing was sent
	ExitUnreachable = 3 // the daemon gave no answer; the call may have taken effect
	ExitTimeout     = 4 // a change or task waited for was not complete in time
)

// Errors that commands return.
var (
	errUsage            = eris.New("faulty command line")
	errTimeout          = eris.New("timed out")
	errNotDone          = eris.New("not done")
	errUnknownItem      = eris.New("no such item")
	errFieldNotSettable = eris.New("the parameter can't be set")
)

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var refusal *dotterclient.Refusal
	var faults *dottercheck.Faults
	var flagsError *flags.Error
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		return ExitDone
	case errors.Is(err, dotterclient.ErrUnreachable):
		return ExitUnreachable
	case errors.Is(err, errTimeout):
		return ExitTimeout
	case errors.As(err, &refusal), errors.Is(err, errNotDone):
		return ExitRefused
	case errors.As(err, &faults), errors.As(err, &flagsError):
		return ExitUsage
	}
	return ExitUsage
}
