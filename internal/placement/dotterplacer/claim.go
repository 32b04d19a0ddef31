package dotterplacer

import (
	"cmp"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterlookahead"
)

// preemptFor evicts lower-priority batch tasks (with a higher Rank) to free
// room for the urgent task t. It picks the worker that needs the fewest
// evictions, and reports whether t has or gets a claim.
func (r *round) preemptFor(t dottertask.Task, size dotterroom.Room) bool {
	id := dotterlookahead.ID(t.ID)
	if r.placer.book.Claims(id) {
		return true
	}
	chosen := -1
	var victims []dotterplan.Holder
	for i := range r.workers {
		w := &r.workers[i]
		if !w.usable || w.probeOnly || w.startsLeft <= 0 {
			continue
		}
		found, ok := r.preemptionVictims(i, t, size)
		if ok && (chosen < 0 || len(found) < len(victims)) {
			chosen, victims = i, found
		}
	}
	if chosen < 0 || !r.placer.urgentEvictions.take(r.state.Now, len(victims)) {
		return false
	}
	for _, h := range victims {
		r.evict(h.Task.ID, "room for urgent task "+string(t.ID))
	}
	r.ahead.Claim(chosen, id, size, r.state.Now+claimTimeout)
	return true
}

// preemptionVictims returns batch tasks of the worker with index i whose eviction frees room for t of
// the given size beside existing claims, and whether that room suffices. It
// takes the lowest-priority tasks first, and among those the ones that free
// most.
func (r *round) preemptionVictims(i int, t dottertask.Task, size dotterroom.Room) ([]dotterplan.Holder, bool) {
	w := &r.workers[i]
	available := w.free.Sub(r.ahead.Claimed(i))
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

// freedShare returns the fraction of size that evicting h would free.
func freedShare(h dotterplan.Holder, size dotterroom.Room) float64 {
	return min(1, componentMin(h.Size, size).DominantShare(size))
}

// evictable reports whether h is a running batch task that may be checkpointed
// and requeued.
func evictable(h dotterplan.Holder) bool {
	t := h.Task
	return !t.Critical && !t.Urgent && t.Repeatable && t.State == dottertask.StateRunning
}

// evict adds the eviction of the task id to the plan.
func (r *round) evict(id dottertask.ID, reason string) {
	r.placer.evictedAt[id] = r.state.Now
	r.plan.Evictions = append(r.plan.Evictions, dotterplan.Eviction{Task: id, Reason: reason})
}

// evicting reports whether the plan already evicts the task id.
func (r *round) evicting(id dottertask.ID) bool {
	return slices.ContainsFunc(r.plan.Evictions, func(e dotterplan.Eviction) bool { return e.Task == id })
}
