package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// The weights of the parts of a cost, in cores of batch progress.
const (
	criticalWeight = 0.1 // of the strain of one latency-critical task
	exposureWeight = 3.0 // of the share of a worker that batch may still fill beside a latency-critical task
	fitWeight      = 0.2
	rackWeight     = 0.3
	overWeight     = 12.0 // of being over the target, relative to nearing it

	// noticeable is the smallest effect for which a task counts as a disturber.
	noticeable = 0.02
)

// candidate is a task to be placed, with what doesn't depend on the worker.
type candidate struct {
	id       int // in effects
	cores    float64
	critical bool
	target   float64
}

// predict works out the slowdown of every group of w.
func (r *round) predict(w *worker) {
	for i := range w.groups {
		v := &w.groups[i]
		v.slowdown = r.slowdown(w, v.id, v.critical > 0, 1)
		if v.critical > 0 {
			v.target = r.target(r.templates[r.placer.effects.names[v.id]])
		}
	}
}

// slowdown returns that predicted for a task of template id on w, of whose own
// weight own is already counted there.
func (r *round) slowdown(w *worker, id int, critical bool, own float64) float64 {
	sum := 1.0
	for _, g := range w.groups {
		weight := g.weight
		if g.id == id {
			weight -= own
		}
		if weight > 0 {
			sum += weight * r.effect(id, g.id, critical)
		}
	}
	return sum
}

// effect returns that of one task of aggressor, raised where little is known
// if the victim is latency-critical.
func (r *round) effect(victim, aggressor int, critical bool) float64 {
	if critical {
		return r.placer.effects.careful(victim, aggressor)
	}
	return r.placer.effects.mean(victim, aggressor)
}

// cost returns what placing c on w costs, in cores of batch progress, and
// whether it does harm: batch that costs more than it would make itself.
func (r *round) cost(c candidate, w *worker) (cost float64, harm bool) {
	loss := 0.0
	for i := range w.groups {
		g := &w.groups[i]
		effect := r.effect(g.id, c.id, g.critical > 0)
		if g.critical > 0 {
			after := g.slowdown + effect
			cost += criticalWeight * float64(g.critical) * (strain(after, g.target) - strain(g.slowdown, g.target))
		}
		loss += g.cores * effect / (g.slowdown * g.slowdown)
	}
	own := r.slowdown(w, c.id, c.critical, 0)
	if c.critical {
		cost += criticalWeight * strain(own, c.target)
		cost += rackWeight * float64(r.racks[rackTemplate{w.host.Rack, c.id}])
		return cost + loss + exposureWeight*(1-w.load()), false
	}
	gain := c.cores/own - loss
	cost += fitWeight*w.load() - gain
	return cost, cost > 0
}

// strain grows with the square of how much of the way to its target a
// slowdown is, and faster beyond the target.
func strain(slowdown, target float64) float64 {
	part := (slowdown - 1) / (target - 1)
	beyond := max(0, part-1)
	return part*part + overWeight*beyond*beyond
}

// settle counts the placed task c on w.
func (r *round) settle(c candidate, w *worker) {
	for i := range w.groups {
		g := &w.groups[i]
		g.slowdown += r.effect(g.id, c.id, g.critical > 0)
	}
	own := r.slowdown(w, c.id, c.critical, 0)
	g := w.group(c.id)
	g.weight++
	g.slowdown = own
	if !c.critical {
		g.batch++
		g.cores += c.cores
		return
	}
	g.critical++
	g.target = c.target
	r.racks[rackTemplate{w.host.Rack, c.id}]++
}

func (r *round) candidate(t dottertask.Task, size dotterroom.Room) candidate {
	c := candidate{
		id:       r.placer.effects.id(t.Template, size.DominantShare(r.largest)),
		cores:    cores(size),
		critical: t.Critical,
	}
	if t.Critical {
		c.target = r.target(r.templates[t.Template])
	}
	return c
}

func cores(size dotterroom.Room) float64 {
	return float64(size.MilliCores) / 1000
}
