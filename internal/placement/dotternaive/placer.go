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

// Threshold is the slowdown over which RuleThreshold evicts.
const Threshold = 2.0

// maxAttempts is how often a task may fail.
const maxAttempts = 3

var _ dotterelusher.Placer = (*Placer)(nil)

// Placer places tasks by a simple rule.
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

// Plan decides on the state.
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
			plan.Endings = append(plan.Endings, dotterplan.Ending{Task: t.ID, Reason: "failed too often"})
			continue
		}
		at := p.choose(state.Workers, free, t.Size)
		if at < 0 {
			continue
		}
		free[at] = free[at].Sub(t.Size)
		worker := state.Workers[at].Host.Name
		plan.Assignments = append(plan.Assignments, dotterplan.Assignment{Task: t.ID, Worker: worker, Size: t.Size})
	}
	return plan
}

// choose returns the position of the worker for a task of size, or -1.
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

// evict takes one batch task off each worker that has a critical one over the threshold.
func (p *Placer) evict(state dotterplan.State) []dotterplan.Eviction {
	var evictions []dotterplan.Eviction
	for _, w := range state.Workers {
		if !p.disturbed(w) {
			continue
		}
		for _, h := range w.Holders {
			if h.Task.Critical || h.Task.State != dottertask.StateRunning {
				continue
			}
			evictions = append(evictions, dotterplan.Eviction{Task: h.Task.ID, Reason: "threshold"})
			p.forget(w)
			break
		}
	}
	return evictions
}

func (p *Placer) disturbed(w dotterplan.Worker) bool {
	for _, h := range w.Holders {
		if h.Task.Critical && p.slowdowns[h.Task.ID] > Threshold {
			return true
		}
	}
	return false
}

// forget drops the reports of w, so that each report leads to one eviction at most.
func (p *Placer) forget(w dotterplan.Worker) {
	for _, h := range w.Holders {
		delete(p.slowdowns, h.Task.ID)
	}
}

// Observe takes in late usage reports of attempts that run on worker.
func (p *Placer) Observe(_ dotterclock.Millis, _ string, usage []dotterattempt.Usage) {
	for _, u := range usage {
		p.slowdowns[u.Task] = u.Slowdown
	}
}

// Ended takes in how an attempt of task ended on worker.
func (p *Placer) Ended(_ dotterclock.Millis, _ string, task dottertask.Task, status dotterattempt.Status) {
	delete(p.slowdowns, task.ID)
	if status.Phase == dotterattempt.PhaseFailed {
		p.failures[task.ID]++
		return
	}
	delete(p.failures, task.ID)
}

// Admit admits every task that some worker could hold.
func (p *Placer) Admit(task dottertask.Task, workers []dotterplan.Worker) string {
	for _, w := range workers {
		if task.Size.Fits(w.Host.Capacity) {
			return ""
		}
	}
	return "no worker has room"
}
