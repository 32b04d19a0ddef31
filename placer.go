package dotterelusher

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Placer is a placement policy: it assigns queued tasks to workers. The owner of
// one shard calls it, from one goroutine at a time.
type Placer interface {
	// Plan returns the decisions for state. It has no effects outside the Placer.
	Plan(state dotterplan.State) dotterplan.Plan

	// RecordUsage records usage measurements, reported with a delay, of attempts on worker.
	RecordUsage(now dotterclock.Millis, worker string, usage []dotterattempt.Usage)

	// RecordEnd records how an attempt of task ended on worker.
	RecordEnd(now dotterclock.Millis, worker string, task dottertask.Task, status dotterattempt.Status)

	// Admit returns why task does not fit the capacity of any worker, or "".
	Admit(task dottertask.Task, workers []dotterplan.Worker) string
}
