package dotterboard

import (
	"cmp"
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// loadHigh is the load of a serving task above which the filling tasks that interfere
	// with it are stopped or throttled. At a load of 0.8 its tail latency is at its target.
	loadHigh = 0.78
	// loadTarget is the predicted load at which no more filling tasks are stopped or
	// throttled, and below which throttled tasks are restored to full pace.
	loadTarget = 0.72
	// minAddedLoad is the load that a filling task must add to a serving one to be worth
	// stopping or throttling.
	minAddedLoad = 0.03
	// reducedPacePercent is the pace of a throttled task, one that would lose too much work
	// if it were stopped.
	reducedPacePercent = 10
	// restartBelowPercent is the progress from which a task without checkpoints is throttled
	// instead of being stopped and started again elsewhere.
	restartBelowPercent = 30
	// maxOverTargetDivisor sets the fraction of MaxOverTarget after which all filling tasks
	// on the worker are suspended. The rest of MaxOverTarget is left for the stops and for
	// the next latency measurements.
	maxOverTargetDivisor = 3
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
// interference with the serving task that has the highest load.
func (b *Board) checkRuns(now dotterclock.Millis, w *worker) {
	var worst *task
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
		if worst == nil || t.expectedLoad(now) > worst.expectedLoad(now) {
			worst = t
		}
	}
	if worst != nil {
		b.limitInterference(now, w, worst)
	}
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
	if !t.speedObserved && t.fromScratch && t.progress >= minSamplePercent {
		t.speedObserved = true
		b.observeSpeed(now, w, t, now-t.startedAt, float64(t.progress)/100)
	}
	left := dotterclock.Millis(float64(t.step.Estimate) * float64(100-t.progress) / 100)
	if t.step.Checkpoints && !t.step.Gang && left > minSampleDuration && b.isSlow(now, w) {
		b.stop(now, t, "the worker is slow")
	}
}

// limitInterference stops or throttles the filling tasks that add most to the load of
// worst, the serving task with the highest load, until its predicted load is below
// loadTarget. After a change it waits for settleDelay, since earlier readings do not show
// the effect.
func (b *Board) limitInterference(now dotterclock.Millis, w *worker, worst *task) {
	load := worst.expectedLoad(now)
	if worst.overTargetSince != 0 && now-worst.overTargetSince > b.settings.MaxOverTarget/maxOverTargetDivisor {
		b.suspendFilling(now, w, worst)
		return
	}
	if load < loadTarget {
		b.restorePace(now, w)
		return
	}
	if load < loadHigh || now-w.movedAt < settleDelay {
		return
	}
	used := 0.0
	for _, t := range w.runs {
		used += cpuShare(now, w, t)
	}
	var interferers []interferer
	for _, t := range w.runs {
		if t.phase != running || !t.step.Fills || t.stopping || t.pace <= reducedPacePercent {
			continue
		}
		e := b.learned.slope(now, worst, t.step.Image)
		slope := e.UpperBound(deviationWeight)
		if used > saturatedCPU {
			slope += saturationSlope
		}
		if addedLoad := slope * cpuShare(now, w, t); addedLoad > minAddedLoad {
			interferers = append(interferers, interferer{t, addedLoad})
		}
	}
	slices.SortFunc(interferers, func(a, b interferer) int {
		return cmp.Or(cmp.Compare(b.addedLoad, a.addedLoad), cmp.Compare(a.task.id().String(), b.task.id().String()))
	})
	for _, f := range interferers {
		if load < loadTarget {
			return
		}
		load -= f.addedLoad
		w.movedAt = now
		b.logger.Info("filling task interferes with a serving task", b.runFields(f.task, zap.String("Serving", worst.id().String()),
			zap.Int64("TailMs", int64(worst.tail)), zap.Int64("TargetMs", int64(worst.step.TailTarget)),
			zap.String("ServingImage", worst.step.Image), zap.String("FillingImage", f.task.step.Image), zap.Float64("Guilt", f.addedLoad))...)
		if f.task.step.Checkpoints || f.task.progress < restartBelowPercent {
			b.stop(now, f.task, "interferes with a serving task")
		} else {
			b.setPace(w, f.task, reducedPacePercent)
		}
	}
}

// suspendFilling stops all filling tasks on the worker, or sets their pace to 0 if they
// have no checkpoints. It is the last resort for a serving task that is over its target
// for so long that the model's predictions have not helped.
func (b *Board) suspendFilling(now dotterclock.Millis, w *worker, worst *task) {
	for _, t := range w.runs {
		if t.phase != running || !t.step.Fills || t.stopping || t.paceWanted == 0 {
			continue
		}
		w.movedAt = now
		b.logger.Warn("filling task suspended for a serving task", b.runFields(t, zap.String("Serving", worst.id().String()),
			zap.Int64("TailMs", int64(worst.tail)), zap.Int64("TargetMs", int64(worst.step.TailTarget)),
			zap.Int64("OverMs", int64(now-worst.overTargetSince)))...)
		if t.step.Checkpoints {
			b.stop(now, t, "a serving task is over its target")
		} else {
			b.setPace(w, t, 0)
		}
	}
}

// interferer is a filling task and the load that it is predicted to add to a serving
// task.
type interferer struct {
	task      *task
	addedLoad float64
}

// restorePace restores one throttled task to full pace if the predicted load of every
// serving task on the worker stays within loadTarget.
func (b *Board) restorePace(now dotterclock.Millis, w *worker) {
	if now-w.movedAt < settleDelay {
		return
	}
	var throttled []*task
	for _, t := range w.runs {
		if t.phase == running && !t.stopping && t.pace != 100 && t.pace == t.paceWanted && b.fitsAtFullPace(now, w, t) {
			throttled = append(throttled, t)
		}
	}
	if len(throttled) == 0 {
		return
	}
	w.movedAt = now
	b.setPace(w, slices.MinFunc(throttled, func(a, b *task) int { return cmp.Compare(a.id().String(), b.id().String()) }), 100)
}

// fitsAtFullPace reports whether the predicted load of every serving task on the worker
// stays within loadTarget if the throttled task runs at full pace.
func (b *Board) fitsAtFullPace(now dotterclock.Millis, w *worker, t *task) bool {
	for _, victim := range w.runs {
		if !victim.step.Serves() {
			continue
		}
		added := b.learned.slope(now, victim, t.step.Image).Mean * unmeasuredUse * float64(t.step.Size.MilliCores) / float64(max(1, w.Capacity.MilliCores))
		if victim.expectedLoad(now)+added > loadTarget {
			return false
		}
	}
	return true
}

func (b *Board) setPace(w *worker, t *task, percent int) {
	t.paceWanted = percent
	w.send(&Order{kind: orderPace, task: t, ref: t.ref()})
}
