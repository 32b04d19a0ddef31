package dotterrecord

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Ended records the end of an attempt or, with attempt zero, the end of a queued
// task without an attempt.
type Ended struct {
	Task       dottertask.ID
	Attempt    int
	State      dottertask.State   // StateQueued or a final state
	Reason     string             `json:",omitempty"`
	Checkpoint string             `json:",omitempty"`
	Failed     bool               `json:",omitempty"` // counts against the template's MaxAttempts
	Crashes    int                `json:",omitempty"` // new value of Entry.Crashes
	RanMillis  dotterclock.Millis `json:",omitempty"`
	At         dotterclock.Millis
}
