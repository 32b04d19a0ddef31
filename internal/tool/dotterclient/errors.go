package dotterclient

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// ErrUnreachable means that no valid response was received; the request may have taken effect.
var ErrUnreachable = eris.New("the daemon is unreachable")

// Refusal is the error of a call that the daemon answered with an error status.
type Refusal struct {
	Status int // HTTP status
	Answer dottermessage.ErrorAnswer
}

var _ error = (*Refusal)(nil)

// Error returns the daemon's message and outcome and, if it named one, the retry delay.
func (r *Refusal) Error() string {
	if r.Answer.RetryAfterMillis > 0 {
		return fmt.Sprintf("%s (%s; retry in %d ms)", r.Answer.Error, r.Answer.Outcome, r.Answer.RetryAfterMillis)
	}
	return fmt.Sprintf("%s (%s)", r.Answer.Error, r.Answer.Outcome)
}

// RetryAfter returns how long to wait before repeating a call that failed with
// err. It returns false if the request may have run or the daemon named no delay.
func RetryAfter(err error) (dotterclock.Millis, bool) {
	var r *Refusal
	if !errors.As(err, &r) || r.Answer.Outcome != dotteroutcome.NotRun {
		return 0, false
	}
	return r.Answer.RetryAfterMillis, r.Answer.RetryAfterMillis > 0
}
