package dotterjob

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Step is a set of identical tasks.
type Step struct {
	Count         int
	Size          dotterroom.Room    // resources that each task declares
	Estimate      dotterclock.Millis `json:",omitempty"` // declared run time, often inaccurate
	After         []int              `json:",omitempty"` // indexes of earlier steps that must be done first
	Gang          bool               `json:",omitempty"` // the tasks make progress only while all of them run
	RackSensitive bool               `json:",omitempty"` // whether the tasks run slower when spread over several racks
	Label         string             `json:",omitempty"` // label that the worker must have
	DataRack      string             `json:",omitempty"` // rack that holds the data; tasks run slower elsewhere
	PerWorker     int                `json:",omitempty"` // maximum number of tasks on one worker; 0 means no limit
	Checkpoints   bool               `json:",omitempty"` // whether a task can resume from its last checkpoint
	Speculative   bool               `json:",omitempty"` // whether several runs of a task may run at the same time
	LongRunning   bool               `json:",omitempty"` // runs until cancelled
	Image         string             `json:",omitempty"` // tasks with the same image cause and suffer the same interference
	TailTarget    dotterclock.Millis `json:",omitempty"` // upper bound for the tail latency of a task that serves requests
	Fills         bool               `json:",omitempty"` // whether the tasks use only processor time that others leave idle
	MayMiss       int                `json:",omitempty"` // tasks that may be taken away at the same time
}

// Reserved returns the resources that a task of the step reserves on a worker. A task
// with Fills reserves no processor time.
func (s Step) Reserved() dotterroom.Room {
	if s.Fills {
		return dotterroom.Room{MemoryMB: s.Size.MemoryMB, Accelerators: s.Size.Accelerators}
	}
	return s.Size
}

// Serves reports whether the tasks are long-running and serve requests with a tail
// latency target.
func (s Step) Serves() bool {
	return s.LongRunning && s.TailTarget > 0
}
