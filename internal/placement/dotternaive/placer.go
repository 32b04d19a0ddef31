package dotternaive

import (
	"slices"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Threshold is the slowdown above which RuleThreshold evicts.
const Threshold = 2.0

// maxAttempts is the number of failures after which a task ends.
const maxAttempts = 3

var _ dotterelusher.Placer = (*Placer)(nil)

// Placer is a placement policy that follows a Rule.
type Placer struct {
	rule      Rule
	slowdowns map[dottertask.ID]float64
	failures  map[dottertask.ID]int
}

// New returns a Placer that follows rule.
func New(rule Rule) *Placer {
	return &Placer{
		rule:      rule,
		slowdowns: make(map[dottertask.ID]float64),
		failures:  make(map[dottertask.ID]int),
	}
}

// Plan makes the decisions for a snapshot of the shard.
func (p *Placer) Plan(state dotterplan.State) dotterplan.Plan {
	var plan dotterplan.Plan
	if p.rule == RuleThreshold {
		plan.Evictions = p.evict(state)
	}
	queue := slices.Clone(state.Queue)
	slices.SortStableFunc(queue, func(a, b dottertask.Task) int { return a.Rank - b.Rank })
	free := make([]dotterroom.Room, len(state.Workers))
	for i, w := range state.Workers {
		free[i] = w.Free()
	}
	for _, t := range queue {
		if p.failures[t.ID] >= maxAttempts {
			plan.Failures = append(plan.Failures, dotterplan.Failure{Task: t.ID, Reason: "failed too often"})
			continue
		}
		index := p.choose(state.Workers, free, t.Size)
		if index < 0 {
			continue
		}
		free[index] = free[index].Sub(t.Size)
		worker := state.Workers[index].Host.Name
		plan.Assignments = append(plan.Assignments, dotterplan.Assignment{Task: t.ID, Worker: worker, Size: t.Size})
	}
	return plan
}

// choose returns the index of the worker for a task of the given size, or -1 if
// none has room.
func (p *Placer) choose(workers []dotterplan.Worker, free []dotterroom.Room, size dotterroom.Room) int {
	best, lowest := -1, 0.0
	for i, w := range workers {
		if !w.Usable || !size.Fits(free[i]) {
			continue
		}
		if p.rule == RuleFirstFit {
			return i
		}
		load := w.Host.Capacity.Sub(free[i]).DominantShare(w.Host.Capacity)
		if best < 0 || load < lowest {
			best, lowest = i, load
		}
	}
	return best
}

// evict evicts one running batch task from each worker with a latency-critical
// task over the threshold.
func (p *Placer) evict(state dotterplan.State) []dotterplan.Eviction {
	var evictions []dotterplan.Eviction
	for _, w := range state.Workers {
		if !p.overThreshold(w) {
			continue
		}
		for _, h := range w.Holders {
			if h.Task.Critical || h.Task.State != dottertask.StateRunning {
				continue
			}
			evictions = append(evictions, dotterplan.Eviction{Task: h.Task.ID, Reason: "threshold"})
			p.dropReports(w)
			break
		}
	}
	return evictions
}

func (p *Placer) overThreshold(w dotterplan.Worker) bool {
	for _, h := range w.Holders {
		if h.Task.Critical && p.slowdowns[h.Task.ID] > Threshold {
			return true
		}
	}
	return false
}

// dropReports discards the reported slowdowns on w, so that each report causes
// at most one eviction.
func (p *Placer) dropReports(w dotterplan.Worker) {
	for _, h := range w.Holders {
		delete(p.slowdowns, h.Task.ID)
	}
}

// RecordUsage records the slowdowns in usage reports of attempts on worker.
func (p *Placer) RecordUsage(_ dotterclock.Millis, _ string, usage []dotterattempt.Usage) {
	for _, u := range usage {
		p.slowdowns[u.Task] = u.Slowdown
	}
}

// RecordEnd records the outcome of an attempt of task on worker.
func (p *Placer) RecordEnd(_ dotterclock.Millis, _ string, task dottertask.Task, status dotterattempt.Status) {
	delete(p.slowdowns, task.ID)
	if status.Phase == dotterattempt.PhaseFailed {
		p.failures[task.ID]++
		return
	}
	delete(p.failures, task.ID)
}

// Admit admits every task that fits on some empty worker.
func (p *Placer) Admit(task dottertask.Task, workers []dotterplan.Worker) string {
	for _, w := range workers {
		if task.Size.Fits(w.Host.Capacity) {
			return ""
		}
	}
	return "no worker has room"
}
