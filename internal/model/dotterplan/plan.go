package dotterplan

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Plan is the list of decisions of a Placer.
type Plan struct {
	Evictions   []Eviction   // executed first
	Throttles   []Throttle   // executed after the evictions
	Assignments []Assignment // executed after the throttles, in order
	Failures    []Failure    // queued tasks that can't or must not be attempted again
}

// Assignment assigns a queued task to a worker.
type Assignment struct {
	Task   dottertask.ID
	Worker string
	Size   dotterroom.Room // resources to reserve: the larger of the declared and the learned size
	Reason string          // for the decision log
}

// Eviction checkpoints a running task and puts it back into the queue.
type Eviction struct {
	Task   dottertask.ID
	Reason string
}

// Throttle limits the processor time of a running task.
type Throttle struct {
	Task    dottertask.ID
	Percent int // 1 to 100; 100 removes the limit
	Reason  string
}

// Failure fails a queued task for good.
type Failure struct {
	Task   dottertask.ID
	Reason string
}
