package dotterelusher

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Placer decides which task runs where. It is called by one shard's owner, from
// one goroutine at a time.
type Placer interface {
	// Plan decides on the state and changes nothing outside the Placer.
	Plan(state dotterplan.State) dotterplan.Plan

	// Observe takes in late usage reports of attempts that run on worker.
	Observe(now dotterclock.Millis, worker string, usage []dotterattempt.Usage)

	// RecordEnd takes in how an attempt of task ended on worker.
	RecordEnd(now dotterclock.Millis, worker string, task dottertask.Task, status dotterattempt.Status)

	// Admit returns why task can never run on any of the pool's worker shapes, or "".
	Admit(task dottertask.Task, workers []dotterplan.Worker) string
}
