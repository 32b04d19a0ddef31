package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
)

const (
	// overReports is the number of reports in a row over the target before anything is done.
	overReports = 2

	// upperBand and lowerBand are the parts of the target between which nothing is done.
	upperBand = 1.05
	lowerBand = 0.9

	// actionSpan is the time between two measures on a worker, in which the
	// effect of the first becomes visible in late reports.
	actionSpan = 4 * dotterclock.Second

	// liftSpan is the time that a throttle stays at least.
	liftSpan = 15 * dotterclock.Second

	// evictionPause is the time in which a task isn't evicted again for disturbing.
	evictionPause = 60 * dotterclock.Second

	// lowestPercent is the processor share that a throttled task keeps.
	lowestPercent = 25

	// percentStep is the granularity of throttles.
	percentStep = 25
)

// control helps disturbed latency-critical tasks, worker by worker.
func (r *round) control() {
	for i := range r.workers {
		w := &r.workers[i]
		past := r.placer.histories[w.host.Name]
		victim, excess := r.mostDisturbed(w)
		switch {
		case victim != nil:
			if r.state.Now-past.actedAt >= actionSpan && r.relieve(w, victim, excess) {
				past.actedAt = r.state.Now
			}
		case r.state.Now-max(past.actedAt, past.liftedAt) >= liftSpan && r.lift(w):
			past.liftedAt = r.state.Now
		}
	}
}

// mostDisturbed returns the latency-critical holder of w that is furthest over
// its target, and by how much.
func (r *round) mostDisturbed(w *worker) (*dotterplan.Holder, float64) {
	var victim *dotterplan.Holder
	most := 0.0
	for i := range w.holders {
		h := &w.holders[i]
		if !h.Task.Critical {
			continue
		}
		a := r.placer.attempts[h.Task.ID]
		if a.over < overReports {
			continue
		}
		if excess := a.slowdown - a.target; excess > most {
			victim, most = h, excess
		}
	}
	return victim, most
}

// relieve throttles the batch task of w that disturbs victim most, or evicts
// it if it is throttled as far as it goes.
func (r *round) relieve(w *worker, victim *dotterplan.Holder, excess float64) bool {
	disturber, effect := r.disturber(w, victim)
	if disturber == nil {
		return false
	}
	if disturber.Throttled == 0 || disturber.Throttled > lowestPercent {
		if r.withheld >= r.capacity*r.placer.options.ThrottledPercent/100 {
			return false
		}
		r.throttle(disturber, throttleTo(holderWeight(*disturber), effect, excess), "disturbs "+string(victim.Task.ID))
		return true
	}
	if !evictable(*disturber) || r.state.Now-r.placer.evictedAt[disturber.Task.ID] < evictionPause {
		return false
	}
	if !r.placer.evictions.take(r.state.Now, 1) {
		return false
	}
	r.evict(disturber.Task.ID, "disturbs "+string(victim.Task.ID)+" though throttled")
	return true
}

// disturber returns the batch holder of w with the largest present effect on
// victim, and its effect when it isn't throttled.
func (r *round) disturber(w *worker, victim *dotterplan.Holder) (*dotterplan.Holder, float64) {
	e := r.placer.effects
	id := e.id(victim.Task.Template, 0)
	var disturber *dotterplan.Holder
	most, whole := noticeable, 0.0
	for i := range w.holders {
		h := &w.holders[i]
		if h.Task.Critical || h.StartedAt == 0 {
			continue
		}
		effect := e.mean(id, e.id(h.Task.Template, 0))
		if present := effect * holderWeight(*h); present > most {
			disturber, most, whole = h, present, effect
		}
	}
	return disturber, whole
}

// throttleTo returns the percent that takes excess off the present effect.
func throttleTo(weight, effect, excess float64) int {
	wanted := int(100 * (weight - excess/effect))
	wanted = wanted / percentStep * percentStep
	return min(max(wanted, lowestPercent), int(100*weight)-percentStep)
}

func (r *round) throttle(h *dotterplan.Holder, percent int, reason string) {
	r.plan.Throttles = append(r.plan.Throttles, dotterplan.Throttle{Task: h.Task.ID, Percent: percent, Reason: reason})
}

// lift lifts one throttle of w whose task isn't expected to disturb any more.
func (r *round) lift(w *worker) bool {
	for i := range w.holders {
		h := &w.holders[i]
		if h.Throttled == 0 || h.Throttled >= 100 || !r.liftable(w, h) {
			continue
		}
		r.throttle(h, 100, "no longer disturbs")
		return true
	}
	return false
}

// liftable reports whether all latency-critical tasks of w are predicted to
// stay within their targets when h runs freely.
func (r *round) liftable(w *worker, h *dotterplan.Holder) bool {
	e := r.placer.effects
	more := 1 - holderWeight(*h)
	id := e.id(h.Task.Template, 0)
	for _, g := range w.groups {
		if g.critical > 0 && g.slowdown+more*e.mean(g.id, id) > g.target*lowerBand {
			return false
		}
	}
	return true
}
