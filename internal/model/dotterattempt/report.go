package dotterattempt

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Phase is what a worker says about an attempt.
type Phase string

// The phases of an attempt; all but Running are ends.
const (
	PhaseRunning      Phase = "Running"
	PhaseDone         Phase = "Done"
	PhaseFailed       Phase = "Failed"
	PhaseCheckpointed Phase = "Checkpointed" // ended with a checkpoint from which it may resume
	PhaseStopped      Phase = "Stopped"
	PhaseLapsed       Phase = "Lapsed" // stopped by the worker because its lease lapsed
)

// Status is a worker's account of one attempt.
type Status struct {
	Ref
	Phase      Phase
	Checkpoint string             `json:",omitempty"`
	Reason     string             `json:",omitempty"`
	RanMillis  dotterclock.Millis // time spent running
	Size       dotterroom.Room    // room that the worker holds for it
}

// Usage is a measurement of one attempt that arrives late.
type Usage struct {
	Ref
	At            dotterclock.Millis // worker's clock when it was measured
	Used          dotterroom.Room
	Progress      float64 // fraction of the work done, 0 to 1
	Slowdown      float64 // run time over that of running alone; 1 is undisturbed
	LatencyMillis float64 `json:",omitempty"` // latency-critical only: p99
}

// Report is a worker's answer to every call.
type Report struct {
	Worker      string
	Incarnation int64
	Clock       dotterclock.Millis // worker's clock when it answered
	Epoch       int64              // highest epoch seen of the caller's shard
	Refused     string             `json:",omitempty"` // why the command was refused; empty if it was taken
	Attempts    []Status           `json:",omitempty"`
	Usage       []Usage            `json:",omitempty"`
}

// UsageAt returns the usage with instants on the clock of a reader for whom the
// report was made at now: workers' own clocks may be far off.
func (r Report) UsageAt(now dotterclock.Millis) []Usage {
	shifted := make([]Usage, len(r.Usage))
	for i, u := range r.Usage {
		u.At += now - r.Clock
		shifted[i] = u
	}
	return shifted
}
