package dotterexchange

import (
	"errors"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterconnection"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// unreachableReturn is when a request that could not be sent is worth repeating.
const unreachableReturn = 250

// refusalOf turns an error of a BackendClient into a refusal.
func refusalOf(err error) *dotterrequest.Refusal {
	if errors.Is(err, dotterelusher.ErrBackendNotSent) {
		return dotterrequest.NotRun(dotterrequest.ReasonUnreachable, err.Error(), unreachableReturn)
	}
	var lost *dotterconnection.LostError
	if errors.As(err, &lost) && lost.TimedOut {
		return dotterrequest.Unknown(dotterrequest.ReasonTimedOut, err.Error())
	}
	return dotterrequest.Unknown(dotterrequest.ReasonAnswerLost, err.Error())
}

// endedOf returns when the server's slot is to be counted as free after err.
func endedOf(err error) <-chan struct{} {
	var lost *dotterconnection.LostError
	if errors.As(err, &lost) {
		return lost.Ended
	}
	ended := make(chan struct{})
	close(ended)
	return ended
}

// combined returns the refusal of a request that was refused with both: it may
// have run if either says so.
func combined(a, b *dotterrequest.Refusal) *dotterrequest.Refusal {
	switch {
	case a == nil:
		return b
	case b == nil || a.Outcome == dotteroutcome.Unknown:
		return a
	}
	return b
}
