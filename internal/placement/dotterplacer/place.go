package dotterplacer

import (
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Reasons for an assignment, as shown in the decision log, or for finding no
// worker.
const (
	reasonLowestCost             = "lowest cost"
	reasonAfterWait              = "lowest cost, after waiting for a place without harm"
	reasonReservation            = "reservation"
	reasonClaim                  = "room made by evictions"
	reasonProbe                  = "probe of a quarantined worker"
	reasonNoRoom                 = "no worker has room"
	reasonInterferenceEverywhere = "every place would do harm"
)

// place assigns t to the worker with the lowest cost, and reports whether it
// did. Without a suitable worker, an urgent task may preempt batch tasks, and a
// task that was overtaken for long may get a reservation.
func (r *round) place(t dottertask.Task) bool {
	if r.ended[t.ID] {
		return false
	}
	size := r.roomFor(t)
	avoidInterference := !t.Critical && !t.Urgent && !r.overtaken(t, r.interferenceDelay())
	s := shape{template: t.Template, size: size, urgent: t.Urgent, avoidInterference: avoidInterference}
	if (r.isUnplaceable(s) && !r.hasClaimOrReservation(t.ID)) || !r.shares.Allows(t.Team, size) {
		return false
	}
	avoidedWorkers := r.avoidedWorkers(t.ID)
	w, reason := r.bestWorker(t, size, avoidInterference, avoidedWorkers)
	if w != nil {
		r.assign(t, size, w, reason)
		return true
	}
	if t.Urgent {
		r.unplaceable[s] = !r.preemptFor(t, size)
		return false
	}
	if r.overtaken(t, r.placer.options.StarvationDelay) && r.reserve(t, size) {
		return false
	}
	if len(avoidedWorkers) == 0 {
		r.markUnplaceable(s, reason)
	}
	r.roomShortage = r.roomShortage || reason == reasonNoRoom
	return false
}

// avoidedWorkers returns the workers on which the task id has failed, or none
// if no other usable worker is left.
func (r *round) avoidedWorkers(id dottertask.ID) []string {
	failed := r.placer.failures.FailedWorkers(id)
	if len(failed) == 0 {
		return nil
	}
	for i := range r.workers {
		w := &r.workers[i]
		if w.usable && !w.probeOnly && !slices.Contains(failed, w.host.Name) {
			return failed
		}
	}
	return nil
}

// interferenceDelay returns how far a batch task must be overtaken to be placed
// where it interferes. The older the tasks placed recently, the longer the
// delay: in an overload there are other tasks to place instead.
func (r *round) interferenceDelay() dotterclock.Millis {
	waited := float64(r.state.Now) - r.placer.placedSubmitTime
	return r.placer.options.InterferenceDelay + dotterclock.Millis(max(0, waited))
}

// markUnplaceable records that tasks of shape s need not be tried again in this
// round. Interference hardly depends on the size and lasts as long as the cached
// predictions, so such shapes are skipped at any size until the next refresh.
func (r *round) markUnplaceable(s shape, reason string) {
	if reason == reasonInterferenceEverywhere {
		r.placer.interferingShapes[s.withoutSize()] = true
		return
	}
	r.unplaceable[s] = true
}

// isUnplaceable reports whether tasks of shape s can be skipped in this round.
func (r *round) isUnplaceable(s shape) bool {
	return r.unplaceable[s] || r.placer.interferingShapes[s.withoutSize()]
}

// hasClaimOrReservation reports whether the task id holds a claim or a
// reservation.
func (r *round) hasClaimOrReservation(id dottertask.ID) bool {
	if _, ok := r.placer.claims[id]; ok {
		return true
	}
	_, ok := r.placer.reservations[id]
	return ok
}

// bestWorker returns the worker with the lowest cost for t and the reason of
// the choice, or nil and the reason why there is none. With avoidInterference,
// it skips workers on which t would interfere.
func (r *round) bestWorker(t dottertask.Task, size dotterroom.Room, avoidInterference bool, avoidedWorkers []string) (*worker, string) {
	c := r.candidate(t, size)
	expectedEnd := r.state.Now + r.expectedRunTime(t)
	var best *worker
	lowest, reason, refusal := 0.0, "", reasonNoRoom
	for i := range r.workers {
		w := &r.workers[i]
		if !r.accepts(w, t, size, expectedEnd) || slices.Contains(avoidedWorkers, w.host.Name) {
			continue
		}
		r.scoredPairs++
		cost, interferes := r.cost(c, w)
		if interferes && avoidInterference {
			refusal = reasonInterferenceEverywhere
			continue
		}
		if best == nil || cost < lowest {
			best, lowest = w, cost
			reason = r.assignmentReason(t, w, interferes)
		}
	}
	if best == nil {
		return nil, refusal
	}
	return best, reason
}

func (r *round) assignmentReason(t dottertask.Task, w *worker, interferes bool) string {
	switch {
	case w.probeOnly:
		return reasonProbe
	case t.Urgent && r.placer.claims[t.ID].worker == w.host.Name:
		return reasonClaim
	case w.reservation != nil && w.reservation.task == t.ID:
		return reasonReservation
	case interferes:
		return reasonAfterWait
	}
	return reasonLowestCost
}

// accepts reports whether t of the given size, expected to end at expectedEnd,
// may be placed on w.
func (r *round) accepts(w *worker, t dottertask.Task, size dotterroom.Room, expectedEnd dotterclock.Millis) bool {
	if !w.usable || w.startsLeft <= 0 || !size.Fits(w.free) {
		return false
	}
	if w.probeOnly && (t.Critical || t.Urgent || !t.Repeatable) {
		return false
	}
	if !r.leavesClaims(w, t, size) {
		return false
	}
	return t.Urgent || t.Critical || w.leavesReservation(t, size, expectedEnd)
}

// leavesReservation reports whether placing t on w doesn't delay the task that
// holds the reservation of w.
func (w *worker) leavesReservation(t dottertask.Task, size dotterroom.Room, expectedEnd dotterclock.Millis) bool {
	if w.reservation == nil || w.reservation.task == t.ID {
		return true
	}
	return expectedEnd <= w.reservation.availableAt || size.Fits(w.reservation.leftover)
}

// assign adds the assignment of t to w to the plan, and updates the round.
func (r *round) assign(t dottertask.Task, size dotterroom.Room, w *worker, reason string) {
	r.applyPlacement(r.candidate(t, size), w)
	w.allocate(size)
	w.startsLeft--
	if w.reservation != nil {
		w.reservation.leftover = w.reservation.leftover.Sub(size)
	}
	r.placer.observePlacedSubmitTime(t.SubmittedAt)
	r.dropClaim(t.ID)
	r.dropReservation(t.ID)
	r.shares.Add(t.Team, size)
	r.plan.Assignments = append(r.plan.Assignments, dotterplan.Assignment{
		Task:   t.ID,
		Worker: w.host.Name,
		Size:   size,
		Reason: reason,
	})
}
