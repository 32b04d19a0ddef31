package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterlookahead"
)

const (
	// maxReservations limits the number of concurrent reservations.
	maxReservations = 3

	// claimTimeout is how long an urgent task waits for the evictions made for it
	// before it may cause evictions on another worker.
	claimTimeout = 2 * dotterclock.Second

	// overrunFraction is the least remaining run time that is assumed of an
	// attempt, as a fraction of its expected run time.
	overrunFraction = 0.25
)

// beginLookAhead begins the look-ahead of the round: it restores the claims and reservations of
// earlier rounds. Each is dropped if its task has left the queue or its worker gets no starts.
func (r *round) beginLookAhead() {
	var queued map[dotterlookahead.ID]bool
	if book := r.placer.book; !book.Empty() {
		queued = make(map[dotterlookahead.ID]bool)
		for _, t := range r.state.Queue {
			if id := dotterlookahead.ID(t.ID); book.Holds(id) {
				queued[id] = true
			}
		}
	}
	workers := make([]dotterlookahead.Worker, len(r.workers))
	for i := range r.workers {
		w := &r.workers[i]
		workers[i] = dotterlookahead.Worker{
			Name: w.host.Name, Free: w.free, Open: w.usable, Reservable: !w.probeOnly,
			Holders: func() []dotterlookahead.Holder { return r.expectedHolders(w) },
		}
	}
	r.ahead = r.placer.book.Begin(r.state.Now, workers, func(id dotterlookahead.ID) dotterlookahead.Waiting {
		if queued[id] {
			return dotterlookahead.Waiting{Count: 1}
		}
		return dotterlookahead.Waiting{}
	})
}

// expectedHolders returns the holders of w with their expected ends.
func (r *round) expectedHolders(w *worker) []dotterlookahead.Holder {
	holders := make([]dotterlookahead.Holder, 0, len(w.holders))
	for _, h := range w.holders {
		end := r.expectedEnd(h)
		holders = append(holders, dotterlookahead.Holder{Size: h.Size, End: end, Latest: end})
	}
	return holders
}

// expectedEnd returns the time at which h is expected to end, which for
// latency-critical tasks is never.
func (r *round) expectedEnd(h dotterplan.Holder) dotterclock.Millis {
	if h.Task.Critical {
		return dotterlookahead.Never
	}
	if h.Task.State == dottertask.StateEvicting {
		return r.state.Now
	}
	run := r.expectedRunTime(h.Task)
	started := h.StartedAt
	if started == 0 {
		started = r.state.Now
	}
	return max(started+run, r.state.Now+dotterclock.Millis(overrunFraction*float64(run)))
}

// reserve makes a reservation for t on the worker that is expected to have room for it
// first, and reports whether t holds one.
func (r *round) reserve(t dottertask.Task, size dotterroom.Room) bool {
	return r.ahead.Reserve(dotterlookahead.Request{
		ID: dotterlookahead.ID(t.ID), Size: size, Count: 1, Since: t.SubmittedAt, StartBy: dotterlookahead.Never, Max: maxReservations,
	}) > 0
}
