package dottertruth

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
)

// Run is one attempt that a worker ran.
type Run struct {
	dotterattempt.Ref
	Template      string
	Worker        string
	FailureDomain string
	ResumeFrom    string `json:",omitempty"`
	StartedAt     dotterclock.Millis
	EndedAt       dotterclock.Millis  `json:",omitempty"` // zero while it runs
	Phase         dotterattempt.Phase // Running until it ends
	Suspended     bool                `json:",omitempty"` // its worker is frozen
	RanMillis     dotterclock.Millis  `json:",omitempty"`
	WorkMillis    dotterclock.Millis  // work that the task needs in all, undisturbed
	Slowdown      float64             `json:",omitempty"` // run time over undisturbed run time
	LatencyMillis float64             `json:",omitempty"` // latency-critical only: mean p99

	leaseUntil dotterclock.Millis // when the worker ends it unless its lease is renewed
}
