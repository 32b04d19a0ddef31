package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
)

const (
	// minReportsOverTarget is the number of consecutive reports over the target
	// that trigger mitigation.
	minReportsOverTarget = 2

	// upperBand and lowerBand are fractions of the target slowdown that form a
	// hysteresis: mitigation starts above the upper one, throttles are lifted
	// below the lower one.
	upperBand = 1.05
	lowerBand = 0.9

	// mitigationInterval is the minimum time between two mitigations on a
	// worker. Reports arrive late, and the effect of the first has to show in
	// them.
	mitigationInterval = 4 * dotterclock.Second

	// minThrottleTime is the time without mitigation on a worker before one of
	// its throttles is lifted, and between two lifts.
	minThrottleTime = 15 * dotterclock.Second

	// evictionCooldown is the time after an eviction in which mitigation
	// doesn't evict the same task again.
	evictionCooldown = 60 * dotterclock.Second

	// minThrottlePercent is the processor share that every throttled task
	// keeps.
	minThrottlePercent = 25

	// throttleStepPercent is the granularity of throttles.
	throttleStepPercent = 25
)

// controlInterference mitigates interference with latency-critical tasks on
// each worker, and lifts throttles that are no longer needed.
func (r *round) controlInterference() {
	for i := range r.workers {
		w := &r.workers[i]
		hist := r.placer.histories[w.host.Name]
		victim, excess := r.mostDisturbed(w)
		switch {
		case victim != nil:
			if r.state.Now-hist.mitigatedAt >= mitigationInterval && r.mitigate(w, victim, excess) {
				hist.mitigatedAt = r.state.Now
			}
		case r.state.Now-max(hist.mitigatedAt, hist.liftedAt) >= minThrottleTime && r.liftThrottle(w):
			hist.liftedAt = r.state.Now
		}
	}
}

// mostDisturbed returns the latency-critical holder of w that exceeds its
// target slowdown by most, and the excess; nil if none exceeds it.
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

// mitigate throttles the batch task of w that disturbs victim most. If that
// task has the lowest throttle already, it is evicted.
func (r *round) mitigate(w *worker, victim *dotterplan.Holder, excess float64) bool {
	aggressor, effect := r.strongestAggressor(w, victim)
	if aggressor == nil {
		return false
	}
	if aggressor.ThrottlePercent == 0 || aggressor.ThrottlePercent > minThrottlePercent {
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

// strongestAggressor returns the batch holder of w with the largest effect on
// victim under its present throttle, and its effect without the throttle.
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

// throttlePercent returns the processor share at which an aggressor, now
// running with the given weight, has its effect on the victim reduced by
// excess.
func throttlePercent(weight, effect, excess float64) int {
	wanted := int(100 * (weight - excess/effect))
	wanted = wanted / throttleStepPercent * throttleStepPercent
	return min(max(wanted, minThrottlePercent), int(100*weight)-throttleStepPercent)
}

func (r *round) throttle(h *dotterplan.Holder, percent int, reason string) {
	r.plan.Throttles = append(r.plan.Throttles, dotterplan.Throttle{Task: h.Task.ID, Percent: percent, Reason: reason})
}

// liftThrottle lifts at most one throttle of w that canLift allows, and reports
// whether it did.
func (r *round) liftThrottle(w *worker) bool {
	for i := range w.holders {
		h := &w.holders[i]
		if h.ThrottlePercent == 0 || h.ThrottlePercent >= 100 || !r.canLift(w, h) {
			continue
		}
		r.throttle(h, 100, "no longer disturbs")
		return true
	}
	return false
}

// canLift reports whether all latency-critical tasks of w are predicted to stay
// below lowerBand of their targets without the throttle of h.
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
