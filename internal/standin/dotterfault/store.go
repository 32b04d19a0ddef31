package dotterfault

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Outage is the way in which the store fails every call.
type Outage string

// The kinds of outage.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "Refuse" // answers with an error; the call has no effect
	OutageHang   Outage = "Hang"   // accepts the call, has no effect and never answers
	OutageDrop   Outage = "Drop"   // closes the connection without an answer; the call has no effect
)

// Store describes the faults of the store.
type Store struct {
	Outage          Outage             `json:",omitempty"`
	DelayMillis     dotterclock.Millis `json:",omitempty"` // delay before each call takes effect
	LoseAnswers     int                `json:",omitempty"` // number of upcoming writes that take effect but get no answer
	LoseProbability float64            `json:",omitempty"` // probability that a write takes effect but gets no answer, 0 to 1
	Stale           bool               `json:",omitempty"` // reads return the contents from when the fault was set
	SilentWatches   bool               `json:",omitempty"` // watches report no changes
}
