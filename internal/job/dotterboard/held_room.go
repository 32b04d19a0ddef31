package dotterboard

import (
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// heldRoom tells what the processor time of the workers of a service is reserved for, in thousandths
// of a core. On open workers, what is free and what is held add up to their capacity, unless a worker
// has shrunk.
type heldRoom struct {
	open          int   // number of workers that accept starts
	free          int64 // on open workers
	largest       int64 // on one open worker
	closed        int   // number of workers that answer and accept no starts
	freeClosed    int64
	largestClosed int64
	heldClosed    int64 // by anything on closed workers
	silent        int   // number of workers that do not answer
	heldSilent    int64 // by anything on silent workers, until their leases have expired

	// On open workers, by runs that the worker has listed:
	quick       int64
	longRunning int64
	// by runs of which it has listed no start yet, by phase:
	bound, ordered, uncertain, inherited int64
	// and by runs that no task is bound to:
	unknown int64
}

// heldRoom returns the room of the service's workers that the directory lists or that have runs.
func (b *Board) heldRoom(now dotterclock.Millis, service string) heldRoom {
	var r heldRoom
	for _, w := range b.workersByID {
		if w.Service != service || !w.inDirectory && len(w.runs) == 0 {
			continue
		}
		free := max(0, w.free().MilliCores)
		switch {
		case !w.answers(now):
			r.silent++
			r.heldSilent += w.reserved.MilliCores
		case !b.isOpen(now, w):
			r.closed++
			r.freeClosed += free
			r.largestClosed = max(r.largestClosed, free)
			r.heldClosed += w.reserved.MilliCores
		default:
			r.addOpen(w, free)
		}
	}
	return r
}

// addOpen adds the room of an open worker.
func (r *heldRoom) addOpen(w *worker, free int64) {
	r.open++
	r.free += free
	r.largest = max(r.largest, free)
	for _, t := range w.runs {
		*r.holderOf(t) += t.step.Reserved().MilliCores
	}
	for _, u := range w.unknownRuns {
		r.unknown += u.reserved.MilliCores
	}
}

// holderOf returns the sum to which the run of a bound task counts.
func (r *heldRoom) holderOf(t *task) *int64 {
	switch {
	case t.phase == bound:
		return &r.bound
	case t.phase == ordered:
		return &r.ordered
	case t.phase == uncertain:
		return &r.uncertain
	case t.phase == inherited:
		return &r.inherited
	case t.step.LongRunning:
		return &r.longRunning
	}
	return &r.quick
}

// unlisted returns what runs hold of which the worker has listed no start or no end yet.
func (r *heldRoom) unlisted() int64 {
	return r.bound + r.ordered + r.uncertain + r.inherited + r.unknown
}

// verdict tells why a task that needs the processor time finds none.
type verdict string

// The verdicts, in the order in which they apply.
const (
	roomInOnePiece verdict = "OnePiece" // an open worker has it free: look at the obstacles
	roomClosed     verdict = "Closed"   // only a worker that answers and accepts no starts has it free
	roomInPieces   verdict = "Pieces"   // open workers have it free, each a part of it
	roomUnlisted   verdict = "Unlisted" // with what runs hold of which no start or end is listed yet, open workers have it
	roomFull       verdict = "Full"
)

// verdict returns why a task that needs the processor time, in thousandths of a core, finds none.
func (r *heldRoom) verdict(size int64) verdict {
	switch {
	case r.largest >= size:
		return roomInOnePiece
	case r.largestClosed >= size:
		return roomClosed
	case r.free >= size:
		return roomInPieces
	case r.free+r.unlisted() >= size:
		return roomUnlisted
	}
	return roomFull
}

// fields returns the room as log fields, in cores.
func (r *heldRoom) fields() []zap.Field {
	return []zap.Field{
		zap.Int("Open", r.open), zap.Int("Closed", r.closed), zap.Int("Silent", r.silent), zap.Float64("Free", inCores(r.free+r.freeClosed)),
		zap.Float64("FreeOpen", inCores(r.free)), zap.Float64("Largest", inCores(r.largest)), zap.Float64("LargestClosed", inCores(r.largestClosed)),
		zap.Float64("HeldClosed", inCores(r.heldClosed)), zap.Float64("HeldSilent", inCores(r.heldSilent)), zap.Float64("Quick", inCores(r.quick)), zap.Float64("LongRunning", inCores(r.longRunning)),
		zap.Float64("Bound", inCores(r.bound)), zap.Float64("Ordered", inCores(r.ordered)), zap.Float64("Uncertain", inCores(r.uncertain)),
		zap.Float64("Inherited", inCores(r.inherited)), zap.Float64("Unknown", inCores(r.unknown)),
	}
}

// inCores converts processor time from thousandths of a core.
func inCores(milliCores int64) float64 {
	return float64(milliCores) / 1000
}
