package dotterfault

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Outage says how the store fails every call.
type Outage string

// The kinds of outage.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "Refuse" // answers that the call took no effect
	OutageHang   Outage = "Hang"   // takes the call, does nothing and never answers
	OutageDrop   Outage = "Drop"   // closes the connection without an answer, no effect
)

// Store is what is wrong with the store.
type Store struct {
	Outage          Outage             `json:",omitempty"`
	DelayMillis     dotterclock.Millis `json:",omitempty"` // before each call takes effect
	LoseAnswers     int                `json:",omitempty"` // next writes whose answers get lost after the effect
	LoseProbability float64            `json:",omitempty"` // chance of any write's answer to get lost, 0 to 1
	Stale           bool               `json:",omitempty"` // reads answer what was there when it was switched on
	SilentWatches   bool               `json:",omitempty"` // watches report no change
}
