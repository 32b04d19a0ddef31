package dotterplan

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Plan is what a Placer decided.
type Plan struct {
	Evictions   []Eviction   // carried out first
	Throttles   []Throttle   // then these
	Assignments []Assignment // then these, in order
	Failures    []Failure    // tasks that can't or must not be tried any more
}

// Assignment puts a queued task on a worker.
type Assignment struct {
	Task   dottertask.ID
	Worker string
	Size   dotterroom.Room // room to hold: the larger of declared and learned
	Reason string          // for the decision log
}

// Eviction checkpoints a running task and puts it back into the queue.
type Eviction struct {
	Task   dottertask.ID
	Reason string
}

// Throttle limits a running task's processor time.
type Throttle struct {
	Task    dottertask.ID
	Percent int // 1 to 100; 100 lifts the limit
	Reason  string
}

// Failure fails a queued task for good.
type Failure struct {
	Task   dottertask.ID
	Reason string
}
