package dotterfault

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Worker is what is wrong with a worker.
type Worker struct {
	Dead            bool               `json:",omitempty"` // the process is gone with all it ran
	CutOff          bool               `json:",omitempty"` // can't be reached and goes on running
	Frozen          bool               `json:",omitempty"` // does nothing until it is thawed
	ClockFrozen     bool               `json:",omitempty"` // its clock stands still while it goes on running
	FailStarts      bool               `json:",omitempty"` // everything that it starts fails soon
	RefuseStarts    bool               `json:",omitempty"` // it refuses every start
	DelayMillis     dotterclock.Millis `json:",omitempty"` // before each command takes effect
	DuplicateMillis dotterclock.Millis `json:",omitempty"` // each start arrives once more after this span
	LoseAnswers     int                `json:",omitempty"` // next commands whose answers get lost after the effect
}
