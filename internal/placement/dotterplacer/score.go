package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Weights of the terms of the placement cost. The cost is in cores of batch
// progress.
const (
	criticalWeight   = 0.1  // of the target penalty of one latency-critical task
	exposureWeight   = 3.0  // of the free share of a worker, which batch tasks may later fill, when placing a latency-critical task
	loadWeight       = 0.2  // of the load of the worker, when placing a batch task
	rackWeight       = 0.3  // of each latency-critical task of the same template in the rack
	overTargetWeight = 12.0 // of the part of a slowdown beyond the target, in targetPenalty

	// minAggressorEffect is the smallest effect for which a task is considered
	// an aggressor.
	minAggressorEffect = 0.02
)

// candidate is a task to be placed, with the inputs of its cost that don't
// depend on the worker.
type candidate struct {
	template int // index in effects
	cores    float64
	critical bool
	target   float64
}

// predictSlowdowns computes the predicted slowdown of every group of w.
func (r *round) predictSlowdowns(w *worker) {
	for i := range w.groups {
		v := &w.groups[i]
		v.slowdown = r.predictedSlowdown(w, v.template, v.critical > 0, 1)
		if v.critical > 0 {
			v.target = r.targetSlowdown(r.templates[r.placer.effects.names[v.template]])
		}
	}
}

// predictedSlowdown returns the predicted slowdown of a task of template id on
// w. The tasks counted on w include the task itself with weight selfWeight.
func (r *round) predictedSlowdown(w *worker, id int, critical bool, selfWeight float64) float64 {
	slowdown := 1.0
	for _, g := range w.groups {
		weight := g.weight
		if g.template == id {
			weight -= selfWeight
		}
		if weight > 0 {
			slowdown += weight * r.effect(id, g.template, critical)
		}
	}
	return slowdown
}

// effect returns the effect of one task of aggressor on victim: the upper bound
// if the victim is latency-critical, otherwise the mean.
func (r *round) effect(victim, aggressor int, critical bool) float64 {
	if critical {
		return r.placer.effects.upperBound(victim, aggressor)
	}
	return r.placer.effects.mean(victim, aggressor)
}

// cost returns the cost of placing c on w, in cores of batch progress, and
// whether it interferes: a batch task does if it costs more progress than it
// makes.
func (r *round) cost(c candidate, w *worker) (cost float64, interferes bool) {
	batchLoss := 0.0
	for i := range w.groups {
		g := &w.groups[i]
		effect := r.effect(g.template, c.template, g.critical > 0)
		if g.critical > 0 {
			after := g.slowdown + effect
			cost += criticalWeight * float64(g.critical) * (targetPenalty(after, g.target) - targetPenalty(g.slowdown, g.target))
		}
		batchLoss += g.cores * effect / (g.slowdown * g.slowdown)
	}
	selfSlowdown := r.predictedSlowdown(w, c.template, c.critical, 0)
	if c.critical {
		cost += criticalWeight * targetPenalty(selfSlowdown, c.target)
		cost += rackWeight * float64(r.rackCounts[rackTemplate{w.host.Rack, c.template}])
		return cost + batchLoss + exposureWeight*(1-w.load()), false
	}
	batchGain := c.cores/selfSlowdown - batchLoss
	cost += loadWeight*w.load() - batchGain
	return cost, cost > 0
}

// targetPenalty grows with the square of the slowdown's part of the way from 1
// to the target, and faster beyond the target.
func targetPenalty(slowdown, target float64) float64 {
	ratio := (slowdown - 1) / (target - 1)
	beyond := max(0, ratio-1)
	return ratio*ratio + overTargetWeight*beyond*beyond
}

// applyPlacement updates the groups of w with the placed task c.
func (r *round) applyPlacement(c candidate, w *worker) {
	for i := range w.groups {
		g := &w.groups[i]
		g.slowdown += r.effect(g.template, c.template, g.critical > 0)
	}
	selfSlowdown := r.predictedSlowdown(w, c.template, c.critical, 0)
	g := w.group(c.template)
	g.weight++
	g.slowdown = selfSlowdown
	if !c.critical {
		g.batch++
		g.cores += c.cores
		return
	}
	g.critical++
	g.target = c.target
	r.rackCounts[rackTemplate{w.host.Rack, c.template}]++
}

func (r *round) candidate(t dottertask.Task, size dotterroom.Room) candidate {
	c := candidate{
		template: r.placer.effects.templateIndex(t.Template, size.DominantShare(r.maxCapacity)),
		cores:    cores(size),
		critical: t.Critical,
	}
	if t.Critical {
		c.target = r.targetSlowdown(r.templates[t.Template])
	}
	return c
}

func cores(size dotterroom.Room) float64 {
	return float64(size.MilliCores) / 1000
}
