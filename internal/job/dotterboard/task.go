package dotterboard

import (
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotteraccount"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
)

// phase is the progress of a task's current run.
type phase int

const (
	waiting   phase = iota // not bound
	bound                  // bound to a worker; the binding is not stored yet
	ordered                // the binding is stored; the start order is queued or sent
	uncertain              // the start order got no conclusive answer and may still take effect
	inherited              // bound by a previous owner; the worker has not listed the run yet
	running                // the worker has started the run
	done
	away // handed over to another shard
)

// task is a task and its current run.
type task struct {
	step       *step
	index      int
	phase      phase
	run        int                // number of the latest run; 0: never bound
	runLost    bool               // whether the last run was lost, not ended
	moves      int                // handovers since the last run
	arrivedAt  dotterclock.Millis // when it was last handed over to this shard; 0: it was not
	failures   int                // failed runs; the members of a gang share the count of its runs
	failedRun  int                // of a gang: its last run that counts as failed; 0: none
	worker     *worker            // to which the task is bound; nil: none
	checkpoint string
	savedAt    dotterclock.Millis // when checkpoint was listed; 0: by a previous owner, or it is empty
	resume     string             // checkpoint from which the current run starts
	gangDone   bool

	expiredRuns []int // earlier runs whose leases had certainly expired when the task was released, at most maxExpiredRuns
	crashes     crashes
	crashedRun  int  // the run for which a crash was last considered
	onTrial     bool // the run is the only one that may start on its worker until it is sound

	inheritedWeight int // of a previous owner's run: see Board.pendingWeight

	boundAt         dotterclock.Millis // when the run was bound
	sentAt          dotterclock.Millis // when the start order was sent, of a previous owner's run when it was bound; 0: it has not been
	atWorkSince     dotterclock.Millis // when the worker was first known to have started the run; 0: it is not
	validUntil      dotterclock.Millis // end of the start order's validity, on the worker's clock
	answeredAt      dotterclock.Millis // when the start was answered, timed out or was first listed; 0: not yet
	stopAnsweredAt  dotterclock.Millis // when a stop of this run was last carried out; 0: never
	stopping        bool               // whether the run is to be stopped
	stopReason      string             // why
	stopRetryAt     dotterclock.Millis // when to repeat the stop order; 0: no repeat scheduled
	workerStartedAt dotterclock.Millis // StartedAt of the worker incarnation that listed the run; 0: none has

	startedAt       dotterclock.Millis
	progress        int                // percent
	progressAt      dotterclock.Millis // when progress last increased
	fromScratch     bool               // whether the run began without a checkpoint
	speedObserved   bool               // whether its progress was taken as a sample of the worker's speed
	used            int64              // processor use, in thousandths of a core
	tail            dotterclock.Millis // of a serving task: tail latency
	tailReadAt      dotterclock.Millis // when this tail reading was first listed; 0: no reading yet
	overTargetSince dotterclock.Millis // of a serving task: since when tail has exceeded its target; 0: it does not
	pace            int                // percent of full speed, as last confirmed by the worker
	paceWanted      int                // percent of full speed, as last ordered
	pacedAt         dotterclock.Millis // when pace last changed
	paceUnknown     bool               // a previous owner may have left the run at another pace
	delay           dotterclock.Millis // time that the run lost by reduced paces until pacedAt
	reliefStops     int                // runs that were stopped for serving tasks
	checkpointAt    dotterclock.Millis // when the run's last checkpoint was first listed; 0: it has none

	lostAt     dotterclock.Millis // of a long-running task: since when, after a run, none has been at work; 0: one is, or none ever was
	lostLogged bool               // whether its wait since lostAt was logged

	account dotteraccount.Task
}

// maxExpiredRuns bounds the runs of a task of which it is remembered that their leases expired.
const maxExpiredRuns = 4

// noteExpired records that the lease of the current run has certainly expired. An end of it that is
// listed later is not the task's, and can be acknowledged at any time.
func (t *task) noteExpired() {
	runs := append(slices.Clone(t.expiredRuns), t.run)
	t.expiredRuns = runs[max(0, len(runs)-maxExpiredRuns):]
}

// id returns the task's ID.
func (t *task) id() dotterjob.TaskID {
	o := t.step.occurrence
	return dotterjob.TaskID{Job: o.job.ID, Occurrence: o.number, Step: t.step.number, Index: t.index}
}

// ref returns the reference of the latest run.
func (t *task) ref() dotterrun.Ref {
	return dotterrun.Ref{Task: t.id(), Run: t.run}
}

func (t *task) job() *job {
	return t.step.occurrence.job
}

// isBound reports whether the task is bound to a worker.
func (t *task) isBound() bool {
	return t.phase != waiting && t.phase != done && t.phase != away
}

// isInitial reports whether the task is in the state that a record shows by leaving it out: away if the job is divided and
// visits, otherwise waiting and never bound. An undivided job that visits leaves no task out, so that its record names each
// occurrence of which it has tasks. A run number of 0 alone does not tell, because a part that is done as a whole does not
// store those of its tasks.
func (t *task) isInitial() bool {
	if j := t.job(); j.visiting {
		return j.isDivided() && t.phase == away
	}
	return t.phase == waiting && t.run == 0
}

// mayHaveReachedWorker reports whether the worker may have received the start order.
func (t *task) mayHaveReachedWorker() bool {
	return t.phase == ordered || t.phase == uncertain || t.phase == inherited || t.phase == running
}

// isUnsent reports whether the task is bound and its start has certainly not been sent.
func (t *task) isUnsent() bool {
	return t.phase == bound || t.phase == ordered && t.sentAt == 0
}

// startedAgain reports whether the task is bound or, in a gang, any of its members.
func (t *task) startedAgain() bool {
	if t.step.Gang {
		return slices.ContainsFunc(t.step.tasks, (*task).isBound)
	}
	return t.isBound()
}
