package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
)

const (
	// minReportsOverTarget is the number of reports in a row over the target before anything is done.
	minReportsOverTarget = 2

	// upperBand and lowerBand are the parts of the target between which nothing is done.
	upperBand = 1.05
	lowerBand = 0.9

	// mitigationInterval is the time between two measures on a worker, in which the
	// effect of the first becomes visible in late reports.
	mitigationInterval = 4 * dotterclock.Second

	// minThrottleTime is the time that a throttle stays at least.
	minThrottleTime = 15 * dotterclock.Second

	// evictionCooldown is the time in which a task isn't evicted again for disturbing.
	evictionCooldown = 60 * dotterclock.Second

	// minThrottlePercent is the processor share that a throttled task keeps.
	minThrottlePercent = 25

	// throttleStepPercent is the granularity of throttles.
	throttleStepPercent = 25
)

// controlInterference helps disturbed latency-critical tasks, worker by worker.
func (r *round) controlInterference() {
	for i := range r.workers {
		w := &r.workers[i]
		past := r.placer.histories[w.host.Name]
		victim, excess := r.mostDisturbed(w)
		switch {
		case victim != nil:
			if r.state.Now-past.mitigatedAt >= mitigationInterval && r.mitigate(w, victim, excess) {
				past.mitigatedAt = r.state.Now
			}
		case r.state.Now-max(past.mitigatedAt, past.liftedAt) >= minThrottleTime && r.liftThrottle(w):
			past.liftedAt = r.state.Now
		}
	}
}

// mostDisturbed returns the latency-critical holder of w that is furthest over
// its target, and by how much.
func (r *round) mostDisturbed(w *worker) (*dotterplan.Holder, float64) {
	var victim *dotterplan.Holder
	largest := 0.0
	for i := range w.holders {
		h := &w.holders[i]
		if !h.Task.Critical {
			continue
		}
		a := r.placer.attempts[h.Task.ID]
		if a.reportsOverTarget < minReportsOverTarget {
			continue
		}
		if excess := a.slowdown - a.targetSlowdown; excess > largest {
			victim, largest = h, excess
		}
	}
	return victim, largest
}

// mitigate throttles the batch task of w that disturbs victim most, or evicts
// it if it is throttled as far as it goes.
func (r *round) mitigate(w *worker, victim *dotterplan.Holder, excess float64) bool {
	aggressor, effect := r.strongestAggressor(w, victim)
	if aggressor == nil {
		return false
	}
	if aggressor.Throttled == 0 || aggressor.Throttled > minThrottlePercent {
		if r.throttledCores >= r.capacity*r.placer.options.ThrottledPercent/100 {
			return false
		}
		r.throttle(aggressor, throttlePercent(throttleWeight(*aggressor), effect, excess), "disturbs "+string(victim.Task.ID))
		return true
	}
	if !evictable(*aggressor) || r.state.Now-r.placer.evictedAt[aggressor.Task.ID] < evictionCooldown {
		return false
	}
	if !r.placer.evictions.take(r.state.Now, 1) {
		return false
	}
	r.evict(aggressor.Task.ID, "disturbs "+string(victim.Task.ID)+" though throttled")
	return true
}

// strongestAggressor returns the batch holder of w with the largest present effect on
// victim, and its effect when it isn't throttled.
func (r *round) strongestAggressor(w *worker, victim *dotterplan.Holder) (*dotterplan.Holder, float64) {
	e := r.placer.effects
	id := e.templateIndex(victim.Task.Template, 0)
	var aggressor *dotterplan.Holder
	strongest, unthrottled := minAggressorEffect, 0.0
	for i := range w.holders {
		h := &w.holders[i]
		if h.Task.Critical || h.StartedAt == 0 {
			continue
		}
		effect := e.mean(id, e.templateIndex(h.Task.Template, 0))
		if present := effect * throttleWeight(*h); present > strongest {
			aggressor, strongest, unthrottled = h, present, effect
		}
	}
	return aggressor, unthrottled
}

// throttlePercent returns the percent that takes excess off the present effect.
func throttlePercent(weight, effect, excess float64) int {
	wanted := int(100 * (weight - excess/effect))
	wanted = wanted / throttleStepPercent * throttleStepPercent
	return min(max(wanted, minThrottlePercent), int(100*weight)-throttleStepPercent)
}

func (r *round) throttle(h *dotterplan.Holder, percent int, reason string) {
	r.plan.Throttles = append(r.plan.Throttles, dotterplan.Throttle{Task: h.Task.ID, Percent: percent, Reason: reason})
}

// liftThrottle lifts one throttle of w whose task isn't expected to disturb any more.
func (r *round) liftThrottle(w *worker) bool {
	for i := range w.holders {
		h := &w.holders[i]
		if h.Throttled == 0 || h.Throttled >= 100 || !r.canLift(w, h) {
			continue
		}
		r.throttle(h, 100, "no longer disturbs")
		return true
	}
	return false
}

// canLift reports whether all latency-critical tasks of w are predicted to
// stay within their targets when h runs freely.
func (r *round) canLift(w *worker, h *dotterplan.Holder) bool {
	e := r.placer.effects
	regained := 1 - throttleWeight(*h)
	id := e.templateIndex(h.Task.Template, 0)
	for _, g := range w.groups {
		if g.critical > 0 && g.slowdown+regained*e.mean(g.template, id) > g.target*lowerBand {
			return false
		}
	}
	return true
}
