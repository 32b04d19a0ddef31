package dotterjob

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Step is a number of like tasks.
type Step struct {
	Count         int
	Size          dotterroom.Room    // room that each task declares
	Estimate      dotterclock.Millis `json:",omitempty"` // declared run time, often far off
	After         []int              `json:",omitempty"` // earlier steps that must be done first
	Gang          bool               `json:",omitempty"` // the tasks work only while all of them run
	RackSensitive bool               `json:",omitempty"` // slower when spread over racks
	Label         string             `json:",omitempty"` // label that the worker must have
	DataRack      string             `json:",omitempty"` // rack of the data; slower elsewhere
	PerWorker     int                `json:",omitempty"` // most tasks on one worker; 0: no limit
	Checkpoints   bool               `json:",omitempty"` // resumes from its last checkpoint
	Speculative   bool               `json:",omitempty"` // copies may run side by side
	LongRunning   bool               `json:",omitempty"` // runs until cancelled
	Image         string             `json:",omitempty"` // tasks of one image behave alike
	TailTarget    dotterclock.Millis `json:",omitempty"` // latency that a serving task's tail must stay below
	Fills         bool               `json:",omitempty"` // uses only processor time that others leave
	MayMiss       int                `json:",omitempty"` // tasks that may be taken away at the same time
}

// Reserved returns the room that a task of the step takes from a worker's capacity.
func (s Step) Reserved() dotterroom.Room {
	if s.Fills {
		return dotterroom.Room{MemoryMB: s.Size.MemoryMB, Accelerators: s.Size.Accelerators}
	}
	return s.Size
}

// Serves reports whether the tasks answer users of their own within a target.
func (s Step) Serves() bool {
	return s.LongRunning && s.TailTarget > 0
}
