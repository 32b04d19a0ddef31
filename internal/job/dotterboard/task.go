package dotterboard

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
)

// phase is how far the current run of a task has come.
type phase int

const (
	waiting   phase = iota // not bound
	bound                  // bound to a worker; the store does not have it yet
	ordered                // the start is on its way
	uncertain              // the start got no answer and may still be carried out
	inherited              // bound by a predecessor; the worker has not listed it yet
	running                // the worker has it
	done
)

// task is one task and its current run.
type task struct {
	step       *step
	index      int
	phase      phase
	run        int // of the newest run
	failures   int
	worker     *worker // that it is bound to
	checkpoint string
	gangDone   bool

	validUntil dotterclock.Millis // of the start order, on the worker's clock
	answeredAt dotterclock.Millis // when the start was answered or given up on
	stopAnsweredAt   dotterclock.Millis // when a stop of this run was answered; 0: never
	stopping   bool               // a stop is ordered
	stopRetryAt  dotterclock.Millis // when an unanswered stop is repeated
	bornAt     dotterclock.Millis // life of the worker that has listed the run; 0: none has

	startedAt  dotterclock.Millis
	progress   int
	progressAt dotterclock.Millis // when progress last rose
	fromScratch      bool               // the run began without a checkpoint
	speedObserved      bool               // its progress has told how fast the worker is
	used       int64
	tail       dotterclock.Millis
	tailReadAt     dotterclock.Millis // when the tail was first listed as it is; 0: no reading yet
	overTargetSince  dotterclock.Millis // serving: since when the tail is over the target; 0: it is not
	pace       int                // percent that is in force
	paceWanted int
	pacedAt    dotterclock.Millis // when the pace changed last
}

// id returns the task's name.
func (t *task) id() dotterjob.TaskID {
	o := t.step.occurrence
	return dotterjob.TaskID{Job: o.job.ID, Occurrence: o.number, Step: t.step.number, Index: t.index}
}

// ref names the newest run.
func (t *task) ref() dotterrun.Ref {
	return dotterrun.Ref{Task: t.id(), Run: t.run}
}

// job returns the task's job.
func (t *task) job() *job {
	return t.step.occurrence.job
}

// isBound reports whether the task has a worker.
func (t *task) isBound() bool {
	return t.phase != waiting && t.phase != done
}

// sent reports whether the worker may have got the start.
func (t *task) sent() bool {
	return t.phase == ordered || t.phase == uncertain || t.phase == inherited || t.phase == running
}
