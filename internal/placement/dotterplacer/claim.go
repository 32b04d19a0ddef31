package dotterplacer

import (
	"cmp"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// claimTimeout is how long an urgent task waits for the evictions made for it
// before it has others made elsewhere.
const claimTimeout = 2 * dotterclock.Second

// claim is room on a worker that evictions make for an urgent task.
type claim struct {
	worker string
	size   dotterroom.Room
	at     dotterclock.Millis
}

// applyClaims takes the claimed room out of reach of other tasks, and drops
// claims whose task is not queued any more or that have waited too long.
func (r *round) applyClaims() {
	if len(r.placer.claims) == 0 {
		return
	}
	queued := make(map[dottertask.ID]bool)
	for _, t := range r.state.Queue {
		if _, ok := r.placer.claims[t.ID]; ok {
			queued[t.ID] = true
		}
	}
	for id, c := range r.placer.claims {
		w := r.worker(c.worker)
		if w == nil || !w.usable || !queued[id] || r.state.Now-c.at >= claimTimeout {
			delete(r.placer.claims, id)
			continue
		}
		w.claimed = w.claimed.Add(c.size)
	}
}

// leavesClaims reports whether t of size leaves the claimed room of w to the
// tasks that claimed it.
func (r *round) leavesClaims(w *worker, t dottertask.Task, size dotterroom.Room) bool {
	if w.claimed.IsZero() {
		return true
	}
	if c, ok := r.placer.claims[t.ID]; ok && c.worker == w.host.Name {
		return true
	}
	return size.Fits(w.free.Sub(w.claimed))
}

// dropClaim ends the claim of the task called id, if it has one.
func (r *round) dropClaim(id dottertask.ID) {
	c, ok := r.placer.claims[id]
	if !ok {
		return
	}
	delete(r.placer.claims, id)
	if w := r.worker(c.worker); w != nil {
		w.claimed = w.claimed.Sub(c.size)
	}
}

// preemptFor evicts batch tasks of higher rank number for the urgent task t of
// roomFor, on the worker where that takes the fewest, and reports whether it will have room.
func (r *round) preemptFor(t dottertask.Task, size dotterroom.Room) bool {
	if _, waiting := r.placer.claims[t.ID]; waiting {
		return true
	}
	var chosen *worker
	var victims []dotterplan.Holder
	for i := range r.workers {
		w := &r.workers[i]
		if !w.usable || w.probeOnly || w.startsLeft <= 0 {
			continue
		}
		found, ok := r.preemptionVictims(w, t, size)
		if ok && (chosen == nil || len(found) < len(victims)) {
			chosen, victims = w, found
		}
	}
	if chosen == nil || !r.placer.urgentEvictions.take(r.state.Now, len(victims)) {
		return false
	}
	for _, h := range victims {
		r.evict(h.Task.ID, "room for urgent task "+string(t.ID))
	}
	r.placer.claims[t.ID] = claim{worker: chosen.host.Name, size: size, at: r.state.Now}
	chosen.claimed = chosen.claimed.Add(size)
	return true
}

// preemptionVictims returns the fewest batch tasks of w that make room for t of size
// beside what is claimed already, or false.
func (r *round) preemptionVictims(w *worker, t dottertask.Task, size dotterroom.Room) ([]dotterplan.Holder, bool) {
	available := w.free.Sub(w.claimed)
	var eligible []dotterplan.Holder
	for _, h := range w.holders {
		switch {
		case h.Task.State == dottertask.StateEvicting || r.evicting(h.Task.ID):
			available = available.Add(h.Size)
		case evictable(h) && h.Task.Rank > t.Rank:
			eligible = append(eligible, h)
		}
	}
	slices.SortStableFunc(eligible, func(a, b dotterplan.Holder) int {
		return cmp.Or(cmp.Compare(b.Task.Rank, a.Task.Rank), cmp.Compare(freedShare(b, size), freedShare(a, size)))
	})
	var victims []dotterplan.Holder
	for _, h := range eligible {
		if size.Fits(available) {
			break
		}
		victims = append(victims, h)
		available = available.Add(h.Size)
	}
	return victims, size.Fits(available)
}

// freedShare returns the part of size that evicting h makes room for.
func freedShare(h dotterplan.Holder, size dotterroom.Room) float64 {
	return min(1, componentMin(h.Size, size).DominantShare(size))
}

// evictable reports whether h is batch work that may be checkpointed now.
func evictable(h dotterplan.Holder) bool {
	t := h.Task
	return !t.Critical && !t.Urgent && t.Repeatable && t.State == dottertask.StateRunning
}

// evict adds an eviction to the plan.
func (r *round) evict(id dottertask.ID, reason string) {
	r.placer.evictedAt[id] = r.state.Now
	r.plan.Evictions = append(r.plan.Evictions, dotterplan.Eviction{Task: id, Reason: reason})
}

// evicting reports whether this round evicts the task called id.
func (r *round) evicting(id dottertask.ID) bool {
	return slices.ContainsFunc(r.plan.Evictions, func(e dotterplan.Eviction) bool { return e.Task == id })
}
