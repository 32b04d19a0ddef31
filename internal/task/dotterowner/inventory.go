package dotterowner

import (
	"context"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
)

// inventory raises w's epoch of the shard and learns which attempts it has.
func (o *Owner) inventory(w *worker) {
	o.call(w, func(ctx context.Context, address string) (dotterattempt.Report, error) {
		return o.options.Workers.Inventory(ctx, address, o.options.Shard.String(), o.log.Epoch())
	}, func(report dotterattempt.Report, err error) {
		if err != nil || report.Refused != "" {
			return
		}
		o.inventoried(w, report)
	})
}

// inventoried settles what was uncertain on w.
func (o *Owner) inventoried(w *worker, report dotterattempt.Report) {
	now := o.options.Clock.Now()
	firstOfEpoch := !w.raised
	if firstOfEpoch {
		// Leases that the owner before granted end in time; the raised epoch keeps
		// it from renewing them.
		w.noteStartSent(now, o.limits)
	}
	w.raised = true
	w.suspect = false
	w.nextRenewal = now
	o.dirty = true
	o.takeStatuses(w, report, now)
	present := refsOf(report)
	for _, r := range w.ordered() {
		if _, ok := present[o.ref(r)]; ok || !r.mayRun() {
			continue
		}
		o.settleAbsent(w, r, firstOfEpoch, now)
	}
}

// settleAbsent decides on an attempt that its worker doesn't have.
func (o *Owner) settleAbsent(w *worker, r *run, firstOfEpoch bool, now dotterclock.Millis) {
	e, ok := o.ledger.Entry(r.task.ID)
	if !ok {
		return
	}
	if w.incarnation != e.Incarnation || r.phase == phaseRunning {
		o.attemptLost(r, "the worker no longer has it")
		return
	}
	// The worker's process is the one for which the attempt was reserved, and it
	// keeps ends until they are acknowledged, which happens after they are logged:
	// the attempt has never started. A start under way can't come in any more
	// once the epoch is raised or its latest start is past.
	if firstOfEpoch || w.clock > r.latestStart {
		r.phase = phaseAhead
		return
	}
	w.suspect = true
	w.nextCall = now + r.latestStart - w.clock + 1
}
