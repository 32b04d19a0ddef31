package dotterplacer

import (
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterlookahead"
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
	if (r.isUnplaceable(s) && !r.placer.book.Holds(dotterlookahead.ID(t.ID))) || !r.shares.Allows(t.Team, size) {
		return false
	}
	avoidedWorkers := r.avoidedWorkers(t.ID)
	i, reason := r.bestWorker(t, size, avoidInterference, avoidedWorkers)
	if i >= 0 {
		r.assign(t, size, i, reason)
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

// bestWorker returns the index of the worker with the lowest cost for t and the reason of
// the choice, or -1 and the reason why there is none. With avoidInterference,
// it skips workers on which t would interfere.
func (r *round) bestWorker(t dottertask.Task, size dotterroom.Room, avoidInterference bool, avoidedWorkers []string) (int, string) {
	c := r.candidate(t, size)
	expectedEnd := r.state.Now + r.expectedRunTime(t)
	best := -1
	lowest, reason, refusal := 0.0, "", reasonNoRoom
	for i := range r.workers {
		w := &r.workers[i]
		if !r.accepts(i, t, size, expectedEnd) || slices.Contains(avoidedWorkers, w.host.Name) {
			continue
		}
		r.scoredPairs++
		cost, interferes := r.cost(c, w)
		if interferes && avoidInterference {
			refusal = reasonInterferenceEverywhere
			continue
		}
		if best < 0 || cost < lowest {
			best, lowest = i, cost
			reason = r.assignmentReason(t, i, interferes)
		}
	}
	if best < 0 {
		return -1, refusal
	}
	return best, reason
}

func (r *round) assignmentReason(t dottertask.Task, i int, interferes bool) string {
	w, id := &r.workers[i], dotterlookahead.ID(t.ID)
	switch {
	case w.probeOnly:
		return reasonProbe
	case t.Urgent && r.placer.book.ClaimsOn(id, w.host.Name):
		return reasonClaim
	case r.ahead.HasReservation(i, id):
		return reasonReservation
	case interferes:
		return reasonAfterWait
	}
	return reasonLowestCost
}

// accepts reports whether t of the given size, expected to end at expectedEnd,
// may be placed on the worker with index i.
func (r *round) accepts(i int, t dottertask.Task, size dotterroom.Room, expectedEnd dotterclock.Millis) bool {
	w := &r.workers[i]
	if !w.usable || w.startsLeft <= 0 || !size.Fits(w.free) {
		return false
	}
	if w.probeOnly && (t.Critical || t.Urgent || !t.Repeatable) {
		return false
	}
	return !r.ahead.Withholds(i, dotterlookahead.Candidate{
		ID: dotterlookahead.ID(t.ID), Size: size, Latest: expectedEnd, Exempt: t.Urgent || t.Critical,
	})
}

// assign adds the assignment of t to the worker with index i to the plan, and updates the round.
func (r *round) assign(t dottertask.Task, size dotterroom.Room, i int, reason string) {
	w := &r.workers[i]
	r.applyPlacement(r.candidate(t, size), w)
	w.allocate(size)
	w.startsLeft--
	r.placer.observePlacedSubmitTime(t.SubmittedAt)
	r.ahead.Place(i, dotterlookahead.ID(t.ID), size, 0)
	r.shares.Add(t.Team, size)
	r.plan.Assignments = append(r.plan.Assignments, dotterplan.Assignment{
		Task:   t.ID,
		Worker: w.host.Name,
		Size:   size,
		Reason: reason,
	})
}
