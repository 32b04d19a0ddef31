package dotterstandworker

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// failAfterMillis is the run time after which an attempt that is set to fail does so.
const failAfterMillis = 50.0

// tick advances the attempts to the current time. The caller holds mu.
func (w *Worker) tick() {
	now := w.clock.Now()
	duration := float64(now - w.tickedAt)
	w.tickedAt = now
	if w.fault.Dead || w.fault.Frozen {
		return
	}
	w.expireLeases()
	w.setSlowdowns()
	for _, a := range w.attempts {
		if a.running() {
			a.advance(duration)
			w.endIfComplete(a)
		}
	}
	w.sample()
}

// expireLeases ends the running attempts whose leases have expired. The caller holds mu.
func (w *Worker) expireLeases() {
	now := w.now()
	for _, a := range w.attempts {
		if a.running() && a.leaseUntil <= now {
			w.finish(a, dotterattempt.PhaseLapsed, "the lease lapsed")
		}
	}
}

// endIfComplete ends an attempt that is done or set to fail. The caller holds mu.
func (w *Worker) endIfComplete(a *attempt) {
	switch {
	case a.ranMillis >= failAfterMillis && w.fault.FailStarts:
		w.finish(a, dotterattempt.PhaseFailed, "the worker fails everything")
	case a.ranMillis >= failAfterMillis && a.behaviour.Fail:
		w.finish(a, dotterattempt.PhaseFailed, "the task fails everywhere")
	case a.completed >= a.totalWork:
		w.finish(a, dotterattempt.PhaseDone, "")
	}
}

// finish ends an attempt and records its end. The caller holds mu.
func (w *Worker) finish(a *attempt, phase dotterattempt.Phase, reason string) {
	a.phase = phase
	a.reason = reason
	slowdown := a.meanSlowdown()
	w.recorder.EndRun(a.run, a.status(), slowdown, a.latency(slowdown))
	if len(w.finished) < maxFinished {
		w.finished[a.start.Ref] = true
	}
}

// setSlowdowns recomputes the slowdowns of the running attempts. The caller holds mu.
func (w *Worker) setSlowdowns() {
	overcommit := w.cpuOvercommit()
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
		a.slowdown = slowdown * overcommit * 100 / float64(a.percent)
	}
}

// cpuOvercommit returns the actual processor usage divided by the capacity, but at
// least 1. The caller holds mu.
func (w *Worker) cpuOvercommit() float64 {
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

// sample records the worker's usage and takes the usage samples that are due. The caller holds mu.
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
	if len(w.usage) > maxUsageSamples {
		w.usage = w.usage[len(w.usage)-maxUsageSamples:]
	}
}
