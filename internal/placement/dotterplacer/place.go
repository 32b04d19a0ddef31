package dotterplacer

import (
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// The reasons of assignments, for the decision log, and of there being none.
const (
	reasonLowestCost  = "lowest cost"
	reasonAfterWait   = "lowest cost, after waiting for a place without harm"
	reasonReservation = "reservation"
	reasonClaim       = "room made by evictions"
	reasonProbe       = "probe of a quarantined worker"
	reasonNoRoom      = "no worker has room"
	reasonHarm        = "every place would do harm"
)

// place puts t on the best worker that has room for it, or makes room for it
// when it is urgent, or reserves room when it has waited long.
func (r *round) place(t dottertask.Task) bool {
	if r.ended[t.ID] {
		return false
	}
	size := r.size(t)
	patient := !t.Critical && !t.Urgent && !r.overtaken(t, r.patience())
	s := shape{template: t.Template, size: size, urgent: t.Urgent, patient: patient}
	if (r.passed(s) && !r.promised(t.ID)) || !r.shares.Allows(t.Team, size) {
		return false
	}
	avoided := r.avoided(t.ID)
	w, reason := r.best(t, size, patient, avoided)
	if w != nil {
		r.assign(t, size, w, reason)
		return true
	}
	if t.Urgent {
		r.blocked[s] = !r.makeRoom(t, size)
		return false
	}
	if r.overtaken(t, r.placer.options.StarvationSpan) && r.reserve(t, size) {
		return false
	}
	if len(avoided) == 0 {
		r.pass(s, reason)
	}
	r.cramped = r.cramped || reason == reasonNoRoom
	return false
}

// avoided returns the workers on which the task called id has failed, or none
// when that would leave no usable one to try.
func (r *round) avoided(id dottertask.ID) []string {
	failed := r.placer.blame.Avoided(id)
	if len(failed) == 0 {
		return nil
	}
	for i := range r.workers {
		w := &r.workers[i]
		if w.usable && !w.probe && !slices.Contains(failed, w.host.Name) {
			return failed
		}
	}
	return nil
}

// patience returns by how much a batch task is overtaken before it is placed
// where it does harm: longer when what is placed has itself waited long, since
// in an overload there is harmless work to do instead.
func (r *round) patience() dotterclock.Millis {
	waited := float64(r.state.Now) - r.placer.front
	return r.placer.options.Patience + dotterclock.Millis(max(0, waited))
}

// pass notes that tasks of shape s need not be tried again in this round. What
// does harm does it at about any size, and for as long as the predictions last.
func (r *round) pass(s shape, reason string) {
	if reason == reasonHarm {
		r.placer.refused[s.sizeless()] = true
		return
	}
	r.blocked[s] = true
}

// passed reports whether tasks of shape s need not be tried in this round.
func (r *round) passed(s shape) bool {
	return r.blocked[s] || r.placer.refused[s.sizeless()]
}

// promised reports whether the task called id has a claim or a reservation.
func (r *round) promised(id dottertask.ID) bool {
	if _, ok := r.placer.claims[id]; ok {
		return true
	}
	_, ok := r.placer.reservations[id]
	return ok
}

// best returns the worker for t with the lowest cost, or nil, and why.
func (r *round) best(t dottertask.Task, size dotterroom.Room, patient bool, avoided []string) (*worker, string) {
	c := r.candidate(t, size)
	ends := r.state.Now + r.run(t)
	var best *worker
	lowest, reason, refusal := 0.0, "", reasonNoRoom
	for i := range r.workers {
		w := &r.workers[i]
		if !r.takes(w, t, size, ends) || slices.Contains(avoided, w.host.Name) {
			continue
		}
		r.scored++
		cost, harm := r.cost(c, w)
		if harm && patient {
			refusal = reasonHarm
			continue
		}
		if best == nil || cost < lowest {
			best, lowest = w, cost
			reason = r.reason(t, w, harm)
		}
	}
	if best == nil {
		return nil, refusal
	}
	return best, reason
}

func (r *round) reason(t dottertask.Task, w *worker, harm bool) string {
	switch {
	case w.probe:
		return reasonProbe
	case t.Urgent && r.placer.claims[t.ID].worker == w.host.Name:
		return reasonClaim
	case w.reservation != nil && w.reservation.task == t.ID:
		return reasonReservation
	case harm:
		return reasonAfterWait
	}
	return reasonLowestCost
}

// takes reports whether w may be given t of size, expected to end at ends.
func (r *round) takes(w *worker, t dottertask.Task, size dotterroom.Room, ends dotterclock.Millis) bool {
	if !w.usable || w.starts <= 0 || !size.Fits(w.free) {
		return false
	}
	if w.probe && (t.Critical || t.Urgent || !t.Repeatable) {
		return false
	}
	if !r.leavesClaims(w, t, size) {
		return false
	}
	return t.Urgent || t.Critical || w.leavesReservation(t, size, ends)
}

// leavesReservation reports whether t leaves the reserved room to the task that has it.
func (w *worker) leavesReservation(t dottertask.Task, size dotterroom.Room, ends dotterclock.Millis) bool {
	if w.reservation == nil || w.reservation.task == t.ID {
		return true
	}
	return ends <= w.reservation.at || size.Fits(w.reservation.spare)
}

// assign gives t to w.
func (r *round) assign(t dottertask.Task, size dotterroom.Room, w *worker, reason string) {
	r.settle(r.candidate(t, size), w)
	w.hold(size)
	w.starts--
	if w.reservation != nil {
		w.reservation.spare = w.reservation.spare.Sub(size)
	}
	r.placer.advanceFront(t.SubmittedAt)
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
