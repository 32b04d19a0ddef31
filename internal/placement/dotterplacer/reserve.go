package dotterplacer

import (
	"cmp"
	"math"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

const (
	// maxReservations limits the number of concurrent reservations.
	maxReservations = 3

	// overrunFraction is the least remaining run time that is assumed of an
	// attempt, as a fraction of its expected run time.
	overrunFraction = 0.25

	// submitTimeSmoothing is the weight of one placed task in the moving
	// average of submission times.
	submitTimeSmoothing = 0.05

	never = dotterclock.Millis(math.MaxInt64 / 2)
)

// observePlacedSubmitTime updates the moving average of the submission times of
// placed tasks.
func (p *Placer) observePlacedSubmitTime(submittedAt dotterclock.Millis) {
	if p.placedSubmitTime == 0 {
		p.placedSubmitTime = float64(submittedAt)
	}
	p.placedSubmitTime += submitTimeSmoothing * (float64(submittedAt) - p.placedSubmitTime)
}

// overtaken reports whether recently placed tasks were, on average, submitted
// later than t by at least delay. The waiting time of t alone doesn't show
// starvation, since all tasks wait long when the backlog is deep.
func (r *round) overtaken(t dottertask.Task, delay dotterclock.Millis) bool {
	return r.placer.placedSubmitTime-float64(t.SubmittedAt) >= float64(delay)
}

// applyReservations restores the reservations of earlier rounds before any task
// is placed. It drops those whose task has left the queue, and those whose
// worker is gone, unusable, due for a probe or not expected to have room.
func (r *round) applyReservations() {
	if len(r.placer.reservations) == 0 {
		return
	}
	kept := make(map[dottertask.ID]string, len(r.placer.reservations))
	for _, t := range r.state.Queue {
		name, ok := r.placer.reservations[t.ID]
		if !ok {
			continue
		}
		w := r.worker(name)
		if w == nil || !w.usable || w.probeOnly {
			continue
		}
		at, leftover := r.expectedRoom(w, r.roomFor(t))
		if at == never {
			continue
		}
		kept[t.ID] = name
		w.reservation = &reservation{task: t.ID, availableAt: at, leftover: leftover}
	}
	r.placer.reservations = kept
}

// reserve makes a reservation for t on the worker that is expected to have room
// for it first, and reports whether t holds one.
func (r *round) reserve(t dottertask.Task, size dotterroom.Room) bool {
	if _, ok := r.placer.reservations[t.ID]; ok {
		return true
	}
	if len(r.placer.reservations) >= maxReservations {
		return false
	}
	var chosen *worker
	var leftover dotterroom.Room
	earliest := never
	for i := range r.workers {
		w := &r.workers[i]
		if !w.usable || w.probeOnly || w.reservation != nil {
			continue
		}
		at, room := r.expectedRoom(w, size)
		if at < earliest {
			chosen, earliest, leftover = w, at, room
		}
	}
	if chosen == nil {
		return false
	}
	r.placer.reservations[t.ID] = chosen.host.Name
	chosen.reservation = &reservation{task: t.ID, availableAt: earliest, leftover: leftover}
	return true
}

// dropReservation removes the reservation of the task id, if any.
func (r *round) dropReservation(id dottertask.ID) {
	name, ok := r.placer.reservations[id]
	if !ok {
		return
	}
	delete(r.placer.reservations, id)
	if w := r.worker(name); w != nil {
		w.reservation = nil
	}
}

// expectedRoom returns the time at which w is expected to have room for size,
// from the expected run times of its tasks, and the room left beside size then.
func (r *round) expectedRoom(w *worker, size dotterroom.Room) (dotterclock.Millis, dotterroom.Room) {
	free := w.free.Sub(w.claimed)
	if size.Fits(free) {
		return r.state.Now, free.Sub(size)
	}
	holders := slices.Clone(w.holders)
	slices.SortStableFunc(holders, func(a, b dotterplan.Holder) int {
		return cmp.Compare(r.expectedEnd(a), r.expectedEnd(b))
	})
	for _, h := range holders {
		at := r.expectedEnd(h)
		if at == never {
			break
		}
		free = free.Add(h.Size)
		if size.Fits(free) {
			return at, free.Sub(size)
		}
	}
	return never, free
}

// expectedEnd returns the time at which h is expected to end, which for
// latency-critical tasks is never.
func (r *round) expectedEnd(h dotterplan.Holder) dotterclock.Millis {
	if h.Task.Critical {
		return never
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
