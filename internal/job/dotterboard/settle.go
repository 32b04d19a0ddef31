package dotterboard

import (
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// settle gives up runs whose lease has surely lapsed and forgets what is over.
func (b *Board) settle(now dotterclock.Millis) {
	for _, w := range b.order {
		if len(w.runs) > 0 && (w.failedAt != 0 || !w.asked) && now >= w.lapsedAt(b.settings, b.began) {
			for _, t := range w.runs {
				if t.sent() {
					b.lose(now, t, "its lease has lapsed")
				}
			}
			for ref, room := range w.strangers {
				w.reserved = w.reserved.Sub(room)
				delete(w.strangers, ref)
			}
		}
		if w.Draining {
			b.leave(now, w)
		}
	}
	b.order = slices.DeleteFunc(b.order, func(w *worker) bool {
		gone := !w.listed && len(w.runs) == 0 && now-w.missingAt > b.settings.ReturnSpan+b.settings.LeaseSpan
		if gone {
			delete(b.workers, w.ID)
		}
		return gone
	})
	for id, j := range b.jobs {
		if j.shown != "" && now-j.outcomeAt > b.settings.RetainSpan && !b.hasRuns(j) {
			delete(b.jobs, id)
			b.expired = append(b.expired, id)
		}
	}
}

func (b *Board) hasRuns(j *job) bool {
	bound := false
	j.tasks(func(t *task) { bound = bound || t.isBound() })
	return bound
}

// leave moves long-running tasks off a worker that drains: they would end with it.
func (b *Board) leave(now dotterclock.Millis, w *worker) {
	for _, t := range w.runs {
		if t.phase == running && t.step.LongRunning && !t.stopping {
			b.stop(now, t, "the worker drains")
		}
	}
}

// judge looks at what a listing tells of the worker's serving and standing tasks.
func (b *Board) judge(now dotterclock.Millis, w *worker) {
	highest := 0.0
	for _, t := range w.runs {
		if t.phase != running {
			continue
		}
		if t.step.Serves() {
			b.learned.observe(now, w, t)
			highest = max(highest, ratio(t))
			b.watchTail(now, t)
		} else {
			b.watchProgress(now, w, t)
		}
	}
	b.control(now, w, highest)
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

const (
	// tailLogSpan keeps short excursions of a tail out of the logs.
	tailLogSpan = 2 * dotterclock.Second
	// standSpan is how long a task may make no progress before its worker is taken to
	// have stalled; many times the span in which a task of the sizes seen gains a percent.
	standSpan = 1500 * dotterclock.Millisecond
	// Pace steps of the control, in percent.
	paceDown  = 40
	paceUp    = 10
	paceFloor = 10
	// The control keeps tails between these, in targets.
	tailHigh = 0.9
	tailLow  = 0.6
)

// watchProgress stops tasks that stand still, so that they go on elsewhere.
func (b *Board) watchProgress(now dotterclock.Millis, w *worker, t *task) {
	if t.stopping || t.pace < 100 || t.step.Gang || t.step.LongRunning || now-t.progressAt < standSpan {
		return
	}
	if expected := t.step.Estimate / 20; now-t.progressAt < expected {
		return
	}
	w.conduct.blame(now, 1)
	b.stop(now, t, "no progress")
}

// control paces the tasks that press on serving tasks so that tails stay below
// their targets. It works in steps of one listing, since a new pace shows in the
// tails only after they have been measured again.
func (b *Board) control(now dotterclock.Millis, w *worker, highest float64) {
	for _, t := range w.runs {
		if t.phase != running || !t.step.Fills || t.stopping || t.pace != t.paceWanted {
			continue
		}
		wanted := t.pace
		switch {
		case highest > tailHigh:
			wanted = max(paceFloor, t.pace-paceDown)
		case highest < tailLow:
			wanted = min(100, t.pace+paceUp)
		}
		if wanted != t.pace {
			t.paceWanted = wanted
			w.send(&Order{kind: orderPace, task: t, ref: t.ref()})
		}
	}
}
