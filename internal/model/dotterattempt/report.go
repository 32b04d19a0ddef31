package dotterattempt

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Phase is the state of an attempt on its worker.
type Phase string

// The phases of an attempt; all but Running are final.
const (
	PhaseRunning      Phase = "Running"
	PhaseDone         Phase = "Done"
	PhaseFailed       Phase = "Failed"
	PhaseCheckpointed Phase = "Checkpointed" // ended with a checkpoint from which it may resume
	PhaseStopped      Phase = "Stopped"
	PhaseLapsed       Phase = "Lapsed" // stopped by the worker because its lease expired
)

// Status is a worker's report on one attempt.
type Status struct {
	Ref
	Phase      Phase
	Checkpoint string             `json:",omitempty"`
	Reason     string             `json:",omitempty"`
	RanMillis  dotterclock.Millis // time spent running
	Size       dotterroom.Room    // resources that the worker reserves for it
}

// Usage is a measurement of one attempt, reported with a delay.
type Usage struct {
	Ref
	At            dotterclock.Millis // time of the measurement on the worker's clock
	Used          dotterroom.Room
	Progress      float64 // fraction of the work done, 0 to 1
	Slowdown      float64 // run time divided by the run time without interference
	LatencyMillis float64 `json:",omitempty"` // p99; latency-critical attempts only
}

// Report is a worker's answer to every command.
type Report struct {
	Worker      string
	Incarnation int64
	Clock       dotterclock.Millis // worker's clock at the time of the answer
	Epoch       int64              // highest epoch seen for the caller's shard
	Refused     string             `json:",omitempty"` // why the command was refused; empty if it was accepted
	Attempts    []Status           `json:",omitempty"`
	Usage       []Usage            `json:",omitempty"`
}

// UsageAt returns the usage with its times converted to the reader's clock, on
// which the report was made at now. Workers' clocks may be far off.
func (r Report) UsageAt(now dotterclock.Millis) []Usage {
	shifted := make([]Usage, len(r.Usage))
	for i, u := range r.Usage {
		u.At += now - r.Clock
		shifted[i] = u
	}
	return shifted
}
