package dotterplacer

import (
	"cmp"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// claimSpan is how long an urgent task waits for the evictions made for it
// before it has others made elsewhere.
const claimSpan = 2 * dotterclock.Second

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
		if w == nil || !w.usable || !queued[id] || r.state.Now-c.at >= claimSpan {
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

// makeRoom evicts batch tasks of higher rank number for the urgent task t of
// size, on the worker where that takes the fewest, and reports whether it will have room.
func (r *round) makeRoom(t dottertask.Task, size dotterroom.Room) bool {
	if _, waiting := r.placer.claims[t.ID]; waiting {
		return true
	}
	var chosen *worker
	var victims []dotterplan.Holder
	for i := range r.workers {
		w := &r.workers[i]
		if !w.usable || w.probe || w.starts <= 0 {
			continue
		}
		found, ok := r.victims(w, t, size)
		if ok && (chosen == nil || len(found) < len(victims)) {
			chosen, victims = w, found
		}
	}
	if chosen == nil || !r.placer.urgent.take(r.state.Now, len(victims)) {
		return false
	}
	for _, h := range victims {
		r.evict(h.Task.ID, "room for urgent task "+string(t.ID))
	}
	r.placer.claims[t.ID] = claim{worker: chosen.host.Name, size: size, at: r.state.Now}
	chosen.claimed = chosen.claimed.Add(size)
	return true
}

// victims returns the fewest batch tasks of w that make room for t of size
// beside what is claimed already, or false.
func (r *round) victims(w *worker, t dottertask.Task, size dotterroom.Room) ([]dotterplan.Holder, bool) {
	space := w.free.Sub(w.claimed)
	var eligible []dotterplan.Holder
	for _, h := range w.holders {
		switch {
		case h.Task.State == dottertask.StateEvicting || r.evicting(h.Task.ID):
			space = space.Add(h.Size)
		case evictable(h) && h.Task.Rank > t.Rank:
			eligible = append(eligible, h)
		}
	}
	slices.SortStableFunc(eligible, func(a, b dotterplan.Holder) int {
		return cmp.Or(cmp.Compare(b.Task.Rank, a.Task.Rank), cmp.Compare(usefulness(b, size), usefulness(a, size)))
	})
	var victims []dotterplan.Holder
	for _, h := range eligible {
		if size.Fits(space) {
			break
		}
		victims = append(victims, h)
		space = space.Add(h.Size)
	}
	return victims, size.Fits(space)
}

// usefulness returns the part of size that evicting h makes room for.
func usefulness(h dotterplan.Holder, size dotterroom.Room) float64 {
	return min(1, least(h.Size, size).DominantShare(size))
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
