package dotterboard

import (
	"cmp"
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// loadHigh is the load of a serving task from which the tasks that press on it are
	// moved; at 0.8 its tail is at its target.
	loadHigh = 0.78
	// loadEased is the load that is aimed at when tasks are moved, and below which
	// paced tasks work on.
	loadEased = 0.72
	// guiltLimit is the least load that a task is moved for.
	guiltLimit = 0.03
	// pacedShare is what a task that can't move without losing its work may still do
	// beside a serving task that it harms, in percent.
	pacedShare = 10
	// keptProgress is the progress, in percent, from which a task without checkpoints
	// is paced rather than started again.
	keptProgress = 30
	// harmParts is the part of the longest allowed harm after which a worker is cleared
	// of filling tasks; the rest is for a stop and for the tails to be measured again.
	harmParts = 3
	// crowdSlope is what any image adds to the load of others on a worker whose
	// processor time is all used, as those do that press hard.
	crowdSlope = 2.0
	// actSpan is how long it takes until a stop or a pace eases a serving task.
	actSpan = 300 * dotterclock.Millisecond
	// tailLogSpan keeps short excursions of a tail out of the logs.
	tailLogSpan = 2 * dotterclock.Second
	// standSpan is how long a task may make no progress before its worker is taken to
	// have stalled: many times the span in which a task of the sizes seen gains a percent.
	standSpan = 1500 * dotterclock.Millisecond
	// standPart is the part of its declared run time that a task may stand still, for
	// those that gain a percent in a longer time.
	standPart = 20
)

// judge looks at what a listing tells of the worker's serving and standing tasks.
func (b *Board) judge(now dotterclock.Millis, w *worker) {
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
		if t.tailAt == now {
			b.learned.observe(now, w, t)
		}
		b.watchTail(now, t)
		if worst == nil || t.expectedLoad(now) > worst.expectedLoad(now) {
			worst = t
		}
	}
	if worst != nil {
		b.control(now, w, worst)
	}
}

// expectedLoad returns the load that a serving task is expected to have by the time
// that an order could ease it: that of its last reading, moved on by the trend of its users.
func (t *task) expectedLoad(now dotterclock.Millis) float64 {
	users := &t.step.userLoad
	return loadAt(ratio(t)) + users.ahead(now+actSpan) - users.ahead(t.tailAt-readingLag)
}

// watchTail logs when a serving task goes over its target and comes back.
func (b *Board) watchTail(now dotterclock.Millis, t *task) {
	over := ratio(t) > 1
	switch {
	case over && t.overSince == 0:
		t.overSince = now
	case !over && t.overSince != 0:
		if now-t.overSince > tailLogSpan {
			b.logger.Info("tail back below its target", b.runFields(t, zap.Int64("OverMs", int64(now-t.overSince)))...)
		}
		t.overSince = 0
	}
}

// watchProgress stops tasks that stand still, so that they go on elsewhere.
func (b *Board) watchProgress(now dotterclock.Millis, w *worker, t *task) {
	stood := now - t.progressAt
	b.watchSpeed(now, w, t)
	if t.stopping || t.pace < 100 || t.step.Gang || t.step.LongRunning || stood < max(standSpan, t.step.Estimate/standPart) {
		return
	}
	w.conduct.blame(now, 1)
	b.stop(now, t, "no progress")
}

// watchSpeed learns from a task's progress how fast its worker is, and moves a task
// that can go on elsewhere off a slow one.
func (b *Board) watchSpeed(now dotterclock.Millis, w *worker, t *task) {
	if t.stopping || t.pace < 100 || t.step.LongRunning || now-t.startedAt < sampleSpan {
		return
	}
	if !t.timed && t.fresh && t.progress >= sampleProgress {
		t.timed = true
		b.observeSpeed(now, w, t, now-t.startedAt, float64(t.progress)/100)
	}
	left := dotterclock.Millis(float64(t.step.Estimate) * float64(100-t.progress) / 100)
	if t.step.Checkpoints && !t.step.Gang && left > sampleSpan && b.isSlow(now, w) {
		b.stop(now, t, "the worker is slow")
	}
}

// control moves the filling tasks that press most on the worker's worst served task
// until it is predicted to be eased. What that does shows only after the tails have
// been measured again.
func (b *Board) control(now dotterclock.Millis, w *worker, worst *task) {
	load := worst.expectedLoad(now)
	if worst.overSince != 0 && now-worst.overSince > b.settings.MaxOverTarget/harmParts {
		b.clear(now, w, worst)
		return
	}
	if load < loadEased {
		b.unpace(now, w)
		return
	}
	if load < loadHigh || now-w.movedAt < settleSpan {
		return
	}
	used := 0.0
	for _, t := range w.runs {
		used += share(now, w, t)
	}
	var pressing []pressure
	for _, t := range w.runs {
		if t.phase != running || !t.step.Fills || t.stopping || t.pace <= pacedShare {
			continue
		}
		e := b.learned.slope(now, worst, t.step.Image)
		slope := e.Cautious(doubtWeight)
		if used > fullUse {
			slope += crowdSlope
		}
		if guilt := slope * share(now, w, t); guilt > guiltLimit {
			pressing = append(pressing, pressure{t, guilt})
		}
	}
	slices.SortFunc(pressing, func(a, b pressure) int {
		return cmp.Or(cmp.Compare(b.guilt, a.guilt), cmp.Compare(a.task.id().String(), b.task.id().String()))
	})
	for _, p := range pressing {
		if load < loadEased {
			return
		}
		load -= p.guilt
		w.movedAt = now
		b.logger.Info("filling task presses on a serving task", b.runFields(p.task, zap.String("Serving", worst.id().String()),
			zap.Int64("TailMs", int64(worst.tail)), zap.Int64("TargetMs", int64(worst.step.TailTarget)),
			zap.String("ServingImage", worst.step.Image), zap.String("FillingImage", p.task.step.Image), zap.Float64("Guilt", p.guilt))...)
		if p.task.step.Checkpoints || p.task.progress < keptProgress {
			b.stop(now, p.task, "presses on a serving task")
		} else {
			b.setPace(w, p.task, pacedShare)
		}
	}
}

// clear has all filling tasks on the worker stand still: a serving task has been over
// its target for long, and what is known of them has not helped.
func (b *Board) clear(now dotterclock.Millis, w *worker, worst *task) {
	for _, t := range w.runs {
		if t.phase != running || !t.step.Fills || t.stopping || t.paceWanted == 0 {
			continue
		}
		w.movedAt = now
		b.logger.Warn("filling task stopped for a serving task", b.runFields(t, zap.String("Serving", worst.id().String()),
			zap.Int64("TailMs", int64(worst.tail)), zap.Int64("TargetMs", int64(worst.step.TailTarget)),
			zap.Int64("OverMs", int64(now-worst.overSince)))...)
		if t.step.Checkpoints {
			b.stop(now, t, "a serving task is over its target")
		} else {
			b.setPace(w, t, 0)
		}
	}
}

// pressure is a filling task and what it may add to the load of a serving one.
type pressure struct {
	task  *task
	guilt float64
}

// unpace lets one paced task work on, if the worker's serving tasks are predicted to
// bear it.
func (b *Board) unpace(now dotterclock.Millis, w *worker) {
	if now-w.movedAt < settleSpan {
		return
	}
	for _, t := range w.runs {
		if t.phase != running || t.stopping || t.pace == 100 || t.pace != t.paceWanted {
			continue
		}
		for _, victim := range w.runs {
			if !victim.step.Serves() {
				continue
			}
			added := b.learned.slope(now, victim, t.step.Image).Mean * unmeasuredUse * float64(t.step.Size.MilliCores) / float64(max(1, w.Capacity.MilliCores))
			if victim.expectedLoad(now)+added > loadEased {
				return
			}
		}
		w.movedAt = now
		b.setPace(w, t, 100)
		return
	}
}

func (b *Board) setPace(w *worker, t *task, percent int) {
	t.paceWanted = percent
	w.send(&Order{kind: orderPace, task: t, ref: t.ref()})
}
