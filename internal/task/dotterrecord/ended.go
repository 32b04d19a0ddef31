package dotterrecord

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Ended says that an attempt is known to have ended, or, with attempt zero,
// that a queued task ends without one.
type Ended struct {
	Task       dottertask.ID
	Attempt    int
	State      dottertask.State   // Queued, or the final state
	Reason     string             `json:",omitempty"`
	Checkpoint string             `json:",omitempty"`
	Failed     bool               `json:",omitempty"` // counts against the template's MaxAttempts
	RanMillis  dotterclock.Millis `json:",omitempty"`
	At         dotterclock.Millis
}
