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
		o.handleInventory(w, report)
	})
}

// inventoried settles what was uncertain on w.
func (o *Owner) handleInventory(w *worker, report dotterattempt.Report) {
	now := o.options.Clock.Now()
	firstOfEpoch := !w.epochRaised
	if firstOfEpoch {
		// Leases that the owner before granted end in time; the raised epoch keeps
		// it from renewing them.
		w.noteStartSent(now, o.limits)
	}
	w.epochRaised = true
	w.needsInventory = false
	w.nextRenewal = now
	o.dirty = true
	o.handleStatuses(w, report, now)
	present := refsOf(report)
	for _, a := range w.sortedAttempts() {
		if _, ok := present[o.ref(a)]; ok || !a.mayBeRunning() {
			continue
		}
		o.resolveAbsent(w, a, firstOfEpoch, now)
	}
}

// settleAbsent decides on an attempt that its worker doesn't have.
func (o *Owner) resolveAbsent(w *worker, a *attempt, firstOfEpoch bool, now dotterclock.Millis) {
	e, ok := o.ledger.Entry(a.task.ID)
	if !ok {
		return
	}
	if w.incarnation != e.Incarnation || a.phase == phaseRunning {
		o.endLost(a, "the worker no longer has it")
		return
	}
	// The worker's process is the one for which the attempt was reserved, and it
	// keeps ends until they are acknowledged, which happens after they are logged:
	// the attempt has never started. A start under way can't come in any more
	// once the epoch is raised or its latest start is past.
	if firstOfEpoch || w.clock > a.latestStart {
		a.phase = phasePreassigned
		return
	}
	w.needsInventory = true
	w.nextCall = now + a.latestStart - w.clock + 1
}
