package dotterboard

import (
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
)

// unknownRun is a run that a worker lists and that no task is bound to.
type unknownRun struct {
	reserved dotterroom.Room // on the worker
	size     dotterroom.Room // declared; zero if the board does not have the job
	tenant   string          // empty: none, or the board does not have the job
}

// stopUnknownRun orders the stop of a run that no task is bound to. The run occupies
// capacity, and counts for its tenant, until it is no longer listed.
func (b *Board) stopUnknownRun(w *worker, ref dotterrun.Ref) {
	if _, known := w.unknownRuns[ref]; !known {
		r := unknownRun{reserved: w.Capacity} // its size is unknown: nothing more may start on the worker
		if t := b.find(ref.Task); t != nil {
			r = unknownRun{reserved: t.step.Reserved(), size: t.step.Size, tenant: t.job().Tenant}
		}
		w.unknownRuns[ref] = r
		w.reserved = w.reserved.Add(r.reserved)
		b.quota.uses.Add(r.tenant, r.size, false)
		b.logger.Warn("stopping a run that no task is bound to", zap.String("Job", string(ref.Task.Job)), zap.String("Task", ref.Task.String()),
			zap.Int("Run", ref.Run), zap.String("Worker", w.ID))
	}
	w.send(&Order{kind: orderStop, ref: ref})
}

// forgetUnknownRuns releases what the runs that no task is bound to occupy, except those in
// listed.
func (b *Board) forgetUnknownRuns(w *worker, listed map[dotterrun.Ref]bool) {
	for ref, r := range w.unknownRuns {
		if !listed[ref] {
			w.reserved = w.reserved.Sub(r.reserved)
			b.quota.uses.Remove(r.tenant, r.size, false)
			delete(w.unknownRuns, ref)
		}
	}
}
