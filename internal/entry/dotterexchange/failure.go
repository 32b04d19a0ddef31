package dotterexchange

import (
	"errors"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterconnection"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// unreachableRetryAfterMillis is the retry delay for a request that could not be sent.
const unreachableRetryAfterMillis = 250

// refusalOf converts an error of a BackendClient to a refusal.
func refusalOf(err error) *dotterrequest.Refusal {
	if errors.Is(err, dotterelusher.ErrBackendNotSent) {
		return dotterrequest.NotRun(dotterrequest.ReasonUnreachable, err.Error(), unreachableRetryAfterMillis)
	}
	var lost *dotterconnection.LostError
	if errors.As(err, &lost) && lost.TimedOut {
		return dotterrequest.Unknown(dotterrequest.ReasonTimedOut, err.Error())
	}
	return dotterrequest.Unknown(dotterrequest.ReasonAnswerLost, err.Error())
}

// slotFree returns a channel that is closed when the server's slot counts as free
// after err.
func slotFree(err error) <-chan struct{} {
	var lost *dotterconnection.LostError
	if errors.As(err, &lost) {
		return lost.SlotFree
	}
	ended := make(chan struct{})
	close(ended)
	return ended
}

// combineRefusals returns the refusal of a request with the refusals a and b of two
// attempts. The outcome is Unknown if either is Unknown.
func combineRefusals(a, b *dotterrequest.Refusal) *dotterrequest.Refusal {
	switch {
	case a == nil:
		return b
	case b == nil || a.Outcome == dotteroutcome.Unknown:
		return a
	}
	return b
}
