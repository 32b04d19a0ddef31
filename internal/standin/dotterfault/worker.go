package dotterfault

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Worker describes the faults of a worker.
type Worker struct {
	Dead            bool               `json:",omitempty"` // the process and its attempts are terminated
	CutOff          bool               `json:",omitempty"` // unreachable, but its attempts keep running
	Frozen          bool               `json:",omitempty"` // neither answers nor runs attempts until the fault is cleared
	ClockFrozen     bool               `json:",omitempty"` // its clock is stopped while its attempts keep running
	FailStarts      bool               `json:",omitempty"` // attempts fail shortly after they start
	RefuseStarts    bool               `json:",omitempty"` // refuses every start
	DelayMillis     dotterclock.Millis `json:",omitempty"` // delay before each command takes effect
	DuplicateMillis dotterclock.Millis `json:",omitempty"` // each start is delivered a second time after this delay
	LoseAnswers     int                `json:",omitempty"` // number of upcoming commands that take effect but get no answer
}
