package dotterowner

import (
	"fmt"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

const (
	// soundAge is the time for which a worker has to report an attempt as running until the
	// attempt is not to blame for the end of the worker's process.
	soundAge = dotterclock.Second
	// maxCrashes is how many processes of workers may end under attempts of a task in a row
	// until the task has failed.
	maxCrashes = 3
)

// countCrash counts the replacement of the worker's process in ended, the end of an attempt
// that was lost with it, and fails the task at maxCrashes. An attempt that was sound makes
// the count start again.
func (o *Owner) countCrash(w *worker, a *attempt, e dotterrecord.Entry, ended *dotterrecord.Ended) {
	if a.sound {
		return
	}
	ended.Crashes = e.Crashes + 1
	if ended.Crashes >= maxCrashes && ended.State == dottertask.StateQueued {
		ended.State = dottertask.StateFailed
		ended.Reason = fmt.Sprintf("the processes of %d workers ended as it started, the last one on %s", ended.Crashes, w.host.Name)
	}
	o.logger.Warn("Worker process ended under a starting attempt", zap.String("Task", string(a.task.ID)), zap.Int("Attempt", a.number),
		zap.String("Target", w.host.Name), zap.Int64("Incarnation", e.Incarnation), zap.Int64("Successor", w.incarnation),
		zap.Int("Crashes", ended.Crashes), zap.String("State", string(ended.State)))
}

// isSuspect reports whether a belongs to a task under which processes of workers have ended, and
// is not sound.
func (o *Owner) isSuspect(a *attempt) bool {
	e, ok := o.ledger.Entry(a.task.ID)
	return ok && e.Crashes > 0 && !a.sound
}

// hasSuspect reports whether any attempt on w is suspect.
func (o *Owner) hasSuspect(w *worker) bool {
	for _, a := range w.attempts {
		if o.isSuspect(a) {
			return true
		}
	}
	return false
}
