package dotterstandworker

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// failSpan is the time until a start that is to fail does so, in milliseconds.
const failSpan = 50.0

// tick runs the attempts up to the present. The caller holds mu.
func (w *Worker) tick() {
	now := w.clock.Now()
	span := float64(now - w.tickedAt)
	w.tickedAt = now
	if w.fault.Dead || w.fault.Frozen {
		return
	}
	w.lapse()
	w.setSlowdowns()
	for _, a := range w.attempts {
		if a.running() {
			a.advance(span)
			w.settle(a)
		}
	}
	w.sample()
}

// lapse stops the attempts whose leases are over. The caller holds mu.
func (w *Worker) lapse() {
	now := w.now()
	for _, a := range w.attempts {
		if a.running() && a.leaseUntil <= now {
			w.finish(a, dotterattempt.PhaseLapsed, "the lease lapsed")
		}
	}
}

// settle ends an attempt that is done or that fails. The caller holds mu.
func (w *Worker) settle(a *attempt) {
	switch {
	case a.ran >= failSpan && w.fault.FailStarts:
		w.finish(a, dotterattempt.PhaseFailed, "the worker fails everything")
	case a.ran >= failSpan && a.behaviour.Fail:
		w.finish(a, dotterattempt.PhaseFailed, "the task fails everywhere")
	case a.done >= a.work:
		w.finish(a, dotterattempt.PhaseDone, "")
	}
}

// finish ends an attempt. The caller holds mu.
func (w *Worker) finish(a *attempt, phase dotterattempt.Phase, reason string) {
	a.phase = phase
	a.reason = reason
	slowdown := a.meanSlowdown()
	w.recorder.EndRun(a.run, a.status(), slowdown, a.latency(slowdown))
	if len(w.finished) < finishedLimit {
		w.finished[a.start.Ref] = true
	}
}

// setSlowdowns works out how the running attempts disturb each other. The caller holds mu.
func (w *Worker) setSlowdowns() {
	crowding := w.crowding()
	for _, a := range w.attempts {
		if !a.running() {
			continue
		}
		slowdown := 1.0
		for _, other := range w.attempts {
			if other != a && other.running() {
				part := float64(other.percent) / 100
				slowdown += part * w.interference.Slowdown(a.start.Template, other.start.Template)
			}
		}
		a.slowdown = slowdown * crowding * 100 / float64(a.percent)
	}
}

// crowding returns by how much the true use of processors is over the capacity, at least 1. The caller holds mu.
func (w *Worker) crowding() float64 {
	var used float64
	for _, a := range w.attempts {
		if a.running() {
			used += float64(a.used.MilliCores) * float64(a.percent) / 100
		}
	}
	if w.host.Capacity.MilliCores == 0 {
		return 1
	}
	return max(1, used/float64(w.host.Capacity.MilliCores))
}

// sample measures the attempts that are due. The caller holds mu.
func (w *Worker) sample() {
	now := w.now()
	var used dotterroom.Room
	for _, a := range w.attempts {
		if !a.running() {
			continue
		}
		used = used.Add(a.used)
		if now-a.sampledAt >= w.options.UsageInterval {
			a.sampledAt = now
			w.usage = append(w.usage, a.usage(now))
		}
	}
	w.recorder.RecordUsage(w.host.Name, used)
	if len(w.usage) > usageLimit {
		w.usage = w.usage[len(w.usage)-usageLimit:]
	}
}
