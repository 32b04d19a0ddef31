package dotterowner

import (
	"sort"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// preassign reserves attempts for queued tasks for which no capacity is free yet,
// so that they can start while the store is unavailable. Urgent tasks are left to
// the Placer, which may evict others for them.
func (o *Owner) preassign(queue []dottertask.Task) {
	_, preassigned := o.countAttempts()
	if preassigned >= o.limits.MaxPreassigned {
		return
	}
	workers := o.usableWorkers()
	if len(workers) == 0 {
		return
	}
	waiting := append([]dottertask.Task(nil), queue...)
	sort.SliceStable(waiting, func(i, j int) bool { return waiting[i].Rank < waiting[j].Rank })
	for _, t := range waiting {
		if preassigned >= o.limits.MaxPreassigned {
			return
		}
		if _, bound := o.attempts[t.ID]; bound || t.Urgent || o.isBusy(t.ID) {
			continue
		}
		if w := leastPreassigned(workers, t); w != nil {
			o.reserve(t, w, t.Size, "reserved ahead", true)
			preassigned++
		}
	}
}

func (o *Owner) usableWorkers() []*worker {
	var workers []*worker
	for _, w := range o.sortedWorkers() {
		if o.usable(w) {
			workers = append(workers, w)
		}
	}
	return workers
}

// leastPreassigned returns the worker with the lowest preassigned load that can
// take t, or nil if there is none.
func leastPreassigned(workers []*worker, t dottertask.Task) *worker {
	var best *worker
	lowestLoad := 0.0
	for _, w := range workers {
		if !t.Size.Fits(w.host.Capacity) {
			continue
		}
		reserved := w.preassignedCapacity().Add(t.Size)
		load := reserved.DominantShare(w.host.Capacity)
		if load <= maxPreassignedLoad && (best == nil || load < lowestLoad) {
			best, lowestLoad = w, load
		}
	}
	return best
}

// startPreassigned makes preassigned attempts ready where capacity is free. It is
// called while the store is unavailable and no new attempt can be logged.
func (o *Owner) startPreassigned(now dotterclock.Millis) {
	for _, w := range o.usableWorkers() {
		free := w.free()
		for _, a := range w.sortedAttempts() {
			if a.phase != phasePreassigned || o.isBusy(a.task.ID) || !a.size.Fits(free) || !o.mayPlace(a.task) {
				continue
			}
			free = free.Sub(a.size)
			a.phase = phaseReady
			a.reason = "from the reserve, the store is away"
		}
	}
	o.nextPlan = min(o.nextPlan, now+planInterval)
}

// drainWorkers removes work from draining and unlisted workers. Attempts that have
// not started are ended, repeatable ones are checkpointed a few at a time, and
// the others are left to finish.
func (o *Owner) drainWorkers(now dotterclock.Millis) {
	if now < o.nextDrain {
		return
	}
	o.nextDrain = now + drainInterval
	evictions := 0
	for _, w := range o.sortedWorkers() {
		if !o.draining(w) && w.listed {
			continue
		}
		for _, a := range w.sortedAttempts() {
			if (a.phase == phasePreassigned || a.phase == phaseReady) && !o.isBusy(a.task.ID) {
				o.endUnstarted(a, "the worker takes no new work")
			}
			if w.listed && evictions < maxDrainEvictions && o.evict(a, "the worker or its failure domain leaves") {
				evictions++
			}
		}
	}
}

// maxPreassignedLoad is the maximum size of a worker's preassigned attempts as a
// multiple of its capacity.
const maxPreassignedLoad = 12

const (
	// drainInterval is the time between two rounds of evictions from draining
	// workers, in milliseconds.
	drainInterval = 100
	// maxDrainEvictions is the maximum number of evictions per round.
	maxDrainEvictions = 10
)
