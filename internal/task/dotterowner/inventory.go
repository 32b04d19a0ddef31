package dotterowner

import (
	"context"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
)

// inventory raises the shard's epoch on w and requests the list of its attempts.
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

// handleInventory resolves the uncertain attempts on w.
func (o *Owner) handleInventory(w *worker, report dotterattempt.Report) {
	now := o.options.Clock.Now()
	firstOfEpoch := !w.epochRaised
	if firstOfEpoch {
		// The previous owner can't renew its leases under the raised epoch, so they
		// expire within the same bound as a lease granted now.
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

// resolveAbsent decides what happens to an attempt that its worker doesn't have.
func (o *Owner) resolveAbsent(w *worker, a *attempt, firstOfEpoch bool, now dotterclock.Millis) {
	e, ok := o.ledger.Entry(a.task.ID)
	if !ok {
		return
	}
	switch {
	case w.incarnation != e.Incarnation:
		o.endLost(a, "the worker's process was replaced", w)
		return
	case a.phase == phaseRunning:
		o.endLost(a, "the worker no longer has it", nil)
		return
	}
	// The attempt has never started: the worker's process is the one for which it
	// was reserved, and a worker keeps ends until they are acknowledged, which
	// happens after they are logged. A start still in flight is refused once the
	// epoch is raised or the latest start has passed.
	if firstOfEpoch || w.clock > a.latestStart {
		a.phase = phasePreassigned
		return
	}
	w.needsInventory = true
	w.nextCall = now + a.latestStart - w.clock + 1
}
