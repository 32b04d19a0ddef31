package dotterjob

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// QueueSettings are the settings of a queue that decide how its jobs run. A job keeps those that were
// in force when it was accepted, in case the queue is dropped.
type QueueSettings struct {
	Service     string
	Rank        int
	MaxAttempts int
	Stretch     float64
	Target      dotterclock.Millis
	Advice      *AdviceSettings `json:",omitempty"` // nil if every worker of the service may run the tasks
}

// AdviceSettings are the times of the admission policy of a queue.
type AdviceSettings struct {
	PerRequest, PerWorker, Valid dotterclock.Millis
}
