package dotterboard

import (
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// saturationSlope is the load per whole worker that any image adds on a worker whose
	// processor time is used up. Images that interfere strongly add as much.
	saturationSlope = 2.0
	// orderEffectDelay is the time from a stop or pace order to its effect on a serving task.
	orderEffectDelay = 300 * dotterclock.Millisecond
	// minLoggedOverTarget keeps short excursions above the target out of the logs.
	minLoggedOverTarget = 2 * dotterclock.Second
	// minStallTimeout is the shortest time without progress after which a task counts as
	// stalled. It is many times what tasks of the usual sizes take for one percent.
	minStallTimeout = 1500 * dotterclock.Millisecond
	// stallEstimateDivisor extends minStallTimeout to a fraction of the declared run time, for
	// tasks that take longer for one percent.
	stallEstimateDivisor = 20
)

// checkRuns acts on the progress and the tail latencies in a worker's new listing: it
// handles stalled and slow tasks, learns from new latency readings, and limits the
// interference with the serving tasks.
func (b *Board) checkRuns(now dotterclock.Millis, w *worker) {
	for _, t := range w.runs {
		if t.phase != running {
			continue
		}
		if !t.step.Serves() {
			b.watchProgress(now, w, t)
			continue
		}
		if t.tail <= 0 {
			continue // no reading yet
		}
		if t.tailReadAt == now {
			b.learned.observe(now, w, t)
		}
		b.watchTail(now, t)
	}
	b.relieve(now, w)
}

// expectedLoad returns the load that a serving task is expected to have when an order
// given now takes effect: the load of its last reading plus the predicted change of its
// user load since.
func (t *task) expectedLoad(now dotterclock.Millis) float64 {
	users := &t.step.userLoad
	return loadForTail(tailRatio(t)) + users.predict(now+orderEffectDelay) - users.predict(t.tailReadAt-readingLag)
}

// watchTail tracks since when a serving task is over its target, and logs when it is
// back below.
func (b *Board) watchTail(now dotterclock.Millis, t *task) {
	over := tailRatio(t) > 1
	switch {
	case over && t.overTargetSince == 0:
		t.overTargetSince = now
	case !over && t.overTargetSince != 0:
		if now-t.overTargetSince > minLoggedOverTarget {
			b.logger.Info("tail latency back below its target", b.runFields(t, zap.Int64("OverMs", int64(now-t.overTargetSince)))...)
		}
		t.overTargetSince = 0
	}
}

// watchProgress stops a stalled task, so that it resumes on another worker, and counts
// the stall as a fault of this one.
func (b *Board) watchProgress(now dotterclock.Millis, w *worker, t *task) {
	stalledFor := now - t.progressAt
	b.watchSpeed(now, w, t)
	if t.stopping || t.pace < 100 || t.step.Gang || t.step.LongRunning || stalledFor < max(minStallTimeout, t.step.Estimate/stallEstimateDivisor) {
		return
	}
	w.faults.addFault(now, 1)
	b.stop(now, t, "no progress")
}

// watchSpeed samples a worker's speed from a running task's progress, and moves tasks
// with checkpoints off a slow worker.
func (b *Board) watchSpeed(now dotterclock.Millis, w *worker, t *task) {
	if t.stopping || t.pace < 100 || t.step.LongRunning || now-t.startedAt < minSampleDuration {
		return
	}
	if !t.speedObserved && t.fromScratch && t.pacedAt < t.startedAt && t.progress >= minSamplePercent {
		t.speedObserved = true
		b.observeSpeed(now, w, t, now-t.startedAt, float64(t.progress)/100)
	}
	left := dotterclock.Millis(float64(t.step.Estimate) * float64(100-t.progress) / 100)
	if t.step.Checkpoints && !t.step.Gang && left > minSampleDuration && b.isSlow(now, w) {
		b.stop(now, t, "the worker is slow")
	}
}
