package dottertruth

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
)

// Run is one execution of an attempt on a worker.
type Run struct {
	dotterattempt.Ref
	Template      string
	Worker        string
	FailureDomain string
	ResumeFrom    string `json:",omitempty"`
	StartedAt     dotterclock.Millis
	EndedAt       dotterclock.Millis  `json:",omitempty"` // 0 while it runs
	Phase         dotterattempt.Phase // PhaseRunning until it ends
	Suspended     bool                `json:",omitempty"` // its worker is frozen
	RanMillis     dotterclock.Millis  `json:",omitempty"`
	WorkMillis    dotterclock.Millis  // total work of the task, as its run time without interference
	Slowdown      float64             `json:",omitempty"` // actual run time divided by run time without interference
	LatencyMillis float64             `json:",omitempty"` // mean p99; latency-critical attempts only

	leaseUntil dotterclock.Millis // the worker ends the run then unless its lease is renewed
}
