package dotterboard

import (
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// reapInterval is the interval between scans for expired leases, vanished workers and
// expired jobs, all of which take seconds to become due.
const reapInterval = 50 * dotterclock.Millisecond

// reap marks runs lost whose lease has certainly expired, and removes workers that left
// the directory and jobs past their retention time.
func (b *Board) reap(now dotterclock.Millis) {
	if now-b.reapedAt < reapInterval {
		return
	}
	b.reapedAt = now
	for _, w := range b.workersByID {
		answers := w.incomplete && now-w.heardAt < maxListingAge // its runs have ended, and the ends will be listed
		// A worker that may answer lists what has ended, also if its lease has expired since.
		mayAnswer := !w.contacted && w.unansweredSince == 0 && w.Address != "" && now-b.ownedSince < maxListingAge
		if len(w.runs)+len(w.unknownRuns) > 0 && !answers && !mayAnswer && now >= w.leaseExpiresAt(b.settings, b.predecessor.until) {
			for _, t := range w.runs {
				if t.mayHaveReachedWorker() {
					t.noteExpired()
					if w.closedAt != 0 {
						b.markCrashed(now, w, t, false, "lease expired")
					} else {
						b.markLost(now, t, "lease expired")
					}
				}
			}
			b.forgetUnknownRuns(w, nil)
		}
		if w.Draining {
			b.evictLongRunning(now, w)
		}
	}
	b.workersByID = slices.DeleteFunc(b.workersByID, func(w *worker) bool {
		gone := !w.inDirectory && len(w.runs) == 0 && now-w.absentSince > b.settings.DirectoryGrace+b.settings.LeaseDuration
		if gone {
			b.forgetUnknownRuns(w, nil)
			delete(b.workers, w.ID)
		}
		return gone
	})
	b.forgetDepartures(now)
	for id, j := range b.jobs {
		if j.storedOutcome != "" && now-j.outcomeAt > b.settings.RetentionDuration && !b.hasRuns(j) {
			if len(j.parts) > 0 { // the record goes last: parts without one are of no job
				j.deleteParts()
				b.schedule(j)
				continue
			}
			b.depart(now, j)
			if j.visiting {
				b.dropped = append(b.dropped, id)
			} else {
				b.expired = append(b.expired, id)
			}
		}
	}
}

func (b *Board) hasRuns(j *job) bool {
	bound := false
	j.forEachTask(func(t *task) { bound = bound || t.isBound() })
	return bound
}

// evictLongRunning stops long-running tasks on a draining worker, so that they start on
// another one instead of ending with it.
func (b *Board) evictLongRunning(now dotterclock.Millis, w *worker) {
	for _, t := range w.runs {
		if t.phase == running && t.step.LongRunning && !t.stopping {
			b.stop(now, t, "worker is draining")
		}
	}
}
