package dotterboard

import (
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// tidySpan is how often it is looked for leases that have lapsed and for what is over,
// both of which take seconds.
const tidySpan = 50 * dotterclock.Millisecond

// settle gives up runs whose lease has surely lapsed and forgets what is over.
func (b *Board) settle(now dotterclock.Millis) {
	if now-b.settledAt < tidySpan {
		return
	}
	b.settledAt = now
	for _, w := range b.workersByID {
		if len(w.runs) > 0 && now >= w.lapsedAt(b.settings, b.former) {
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
	b.workersByID = slices.DeleteFunc(b.workersByID, func(w *worker) bool {
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
