package dottermessage

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dottercheck"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// ErrorAnswer is the body of every answer that is not a success.
type ErrorAnswer struct {
	Outcome          dotteroutcome.Outcome
	Error            string                 // what went wrong, for people
	Reason           string                 // what went wrong, one word for programs
	RetryAfterMillis dotterclock.Millis     `json:",omitempty"` // when a repetition is worth while
	Request          string                 `json:",omitempty"` // id of the request
	Faults           []dottercheck.Fault    `json:",omitempty"` // of a refused configuration
	Conflict         *dotterconfig.Conflict `json:",omitempty"` // of a refused edit
}
