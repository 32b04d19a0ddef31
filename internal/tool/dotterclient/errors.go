package dotterclient

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// ErrUnreachable means that the daemon gave no answer.
var ErrUnreachable = eris.New("the daemon can't be reached")

// Refusal is the error of a call that the daemon answered with an error.
type Refusal struct {
	Status int // HTTP status
	Answer dottermessage.ErrorAnswer
}

var _ error = (*Refusal)(nil)

// Error returns what the daemon said, and when to come back.
func (r *Refusal) Error() string {
	if r.Answer.RetryAfterMillis > 0 {
		return fmt.Sprintf("%s (%s; repeat in %d ms)", r.Answer.Error, r.Answer.Outcome, r.Answer.RetryAfterMillis)
	}
	return fmt.Sprintf("%s (%s)", r.Answer.Error, r.Answer.Outcome)
}

// RetryAfter returns when a call that failed with err is worth repeating, or
// false if it may have run or never is.
func RetryAfter(err error) (dotterclock.Millis, bool) {
	var r *Refusal
	if !errors.As(err, &r) || r.Answer.Outcome != dotteroutcome.NotRun {
		return 0, false
	}
	return r.Answer.RetryAfterMillis, r.Answer.RetryAfterMillis > 0
}
