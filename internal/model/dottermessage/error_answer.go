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
	Error            string                 // error message for people
	Reason           string                 // error code for programs, one word
	RetryAfterMillis dotterclock.Millis     `json:",omitempty"` // how long to wait before repeating the request
	Request          string                 `json:",omitempty"` // ID of the request
	Faults           []dottercheck.Fault    `json:",omitempty"` // faults of a rejected configuration
	Conflict         *dotterconfig.Conflict `json:",omitempty"` // conflict of a rejected edit
}
