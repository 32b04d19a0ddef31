package dotterowner

import (
	"sort"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// reserveAhead names workers for tasks that wait although there is no room for
// them yet, so that they can start while the store is away. Urgent tasks are
// left to the Placer, which may make room for them.
func (o *Owner) reserveAhead(queue []dottertask.Task) {
	_, ahead := o.countRuns()
	if ahead >= o.limits.Ahead {
		return
	}
	workers := o.usableWorkers()
	if len(workers) == 0 {
		return
	}
	waiting := append([]dottertask.Task(nil), queue...)
	sort.SliceStable(waiting, func(i, j int) bool { return waiting[i].Rank < waiting[j].Rank })
	for _, t := range waiting {
		if ahead >= o.limits.Ahead {
			return
		}
		if _, bound := o.runs[t.ID]; bound || t.Urgent || o.isBusy(t.ID) {
			continue
		}
		if w := leastAhead(workers, t); w != nil {
			o.reserve(t, w, t.Size, "reserved ahead", true)
			ahead++
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

// leastAhead returns the worker with the least reserved ahead that can take t.
func leastAhead(workers []*worker, t dottertask.Task) *worker {
	var best *worker
	least := 0.0
	for _, w := range workers {
		if !t.Size.Fits(w.host.Capacity) {
			continue
		}
		reserved := w.aheadRoom().Add(t.Size)
		share := reserved.DominantShare(w.host.Capacity)
		if share <= aheadLaps && (best == nil || share < least) {
			best, least = w, share
		}
	}
	return best
}

// startAhead starts reserved attempts where there is room, while nothing can be logged.
func (o *Owner) startAhead(now dotterclock.Millis) {
	for _, w := range o.usableWorkers() {
		free := w.free()
		for _, r := range w.ordered() {
			if r.phase != phaseAhead || o.isBusy(r.task.ID) || !r.size.Fits(free) || !o.mayPlace(r.task) {
				continue
			}
			free = free.Sub(r.size)
			r.phase = phaseReady
			r.reason = "from the reserve, the store is away"
		}
	}
	o.nextPlan = min(o.nextPlan, now+planInterval)
}

// drain takes work off workers that are to get none: reserved attempts are
// released, repeatable ones checkpointed a few at a time, the others finish.
func (o *Owner) drain(now dotterclock.Millis) {
	if now < o.nextDrain {
		return
	}
	o.nextDrain = now + drainInterval
	evictions := 0
	for _, w := range o.sortedWorkers() {
		if !o.draining(w) && w.listed {
			continue
		}
		for _, r := range w.ordered() {
			if (r.phase == phaseAhead || r.phase == phaseReady) && !o.isBusy(r.task.ID) {
				o.attemptReleased(r, "the worker takes no new work")
			}
			if w.listed && evictions < drainAtOnce && o.evict(r, "the worker or its failure domain leaves") {
				evictions++
			}
		}
	}
}

// aheadLaps is how often the attempts reserved ahead may fill their worker.
const aheadLaps = 12

const (
	// drainInterval is the time between two rounds of evictions from draining workers.
	drainInterval = 100
	// drainAtOnce is the most evictions of a round.
	drainAtOnce = 10
)
