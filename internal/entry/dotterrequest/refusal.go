package dotterrequest

import (
	"net/http"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// Refusal is the final result of a request that has no answer.
type Refusal struct {
	Outcome    dotteroutcome.Outcome
	Reason     Reason
	Text       string             // human-readable description
	Status     int                // HTTP status
	RetryAfter dotterclock.Millis // delay before a retry; 0: retrying the same request is of no use
}

var _ error = (*Refusal)(nil)

// NotRun returns the refusal of a request that did not run: nothing of it was
// sent, or the server refused it.
func NotRun(reason Reason, text string, retryAfter dotterclock.Millis) *Refusal {
	return &Refusal{
		Outcome:    dotteroutcome.NotRun,
		Reason:     reason,
		Text:       text,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: retryAfter,
	}
}

// Unknown returns the refusal of a request that may have run.
func Unknown(reason Reason, text string) *Refusal {
	return &Refusal{
		Outcome: dotteroutcome.Unknown,
		Reason:  reason,
		Text:    text,
		Status:  http.StatusGatewayTimeout,
	}
}

// Error returns the reason and the text.
func (r *Refusal) Error() string {
	return string(r.Reason) + ": " + r.Text
}

// WithStatus returns a copy of r with the given HTTP status.
func (r *Refusal) WithStatus(status int) *Refusal {
	c := *r
	c.Status = status
	return &c
}

// WithOutcome returns a copy of r with the given outcome.
func (r *Refusal) WithOutcome(outcome dotteroutcome.Outcome) *Refusal {
	c := *r
	c.Outcome = outcome
	return &c
}
