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
// before it may cause evictions on another worker.
const claimTimeout = 2 * dotterclock.Second

// claim is the room on a worker that is being freed by evictions for an urgent
// task.
type claim struct {
	worker    string
	size      dotterroom.Room
	claimedAt dotterclock.Millis
}

// applyClaims withholds claimed room from other tasks. It drops claims that
// have timed out, whose task has left the queue or whose worker is no longer
// usable.
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
		if w == nil || !w.usable || !queued[id] || r.state.Now-c.claimedAt >= claimTimeout {
			delete(r.placer.claims, id)
			continue
		}
		w.claimed = w.claimed.Add(c.size)
	}
}

// leavesClaims reports whether placing t of the given size on w leaves enough
// room for the claims of other tasks.
func (r *round) leavesClaims(w *worker, t dottertask.Task, size dotterroom.Room) bool {
	if w.claimed.IsZero() {
		return true
	}
	if c, ok := r.placer.claims[t.ID]; ok && c.worker == w.host.Name {
		return true
	}
	return size.Fits(w.free.Sub(w.claimed))
}

// dropClaim removes the claim of the task id, if any.
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

// preemptFor evicts lower-priority batch tasks (with a higher Rank) to free
// room for the urgent task t. It picks the worker that needs the fewest
// evictions, and reports whether t has or gets a claim.
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
	r.placer.claims[t.ID] = claim{worker: chosen.host.Name, size: size, claimedAt: r.state.Now}
	chosen.claimed = chosen.claimed.Add(size)
	return true
}

// preemptionVictims returns batch tasks of w whose eviction frees room for t of
// the given size beside existing claims, and whether that room suffices. It
// takes the lowest-priority tasks first, and among those the ones that free
// most.
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
