package dotterowner

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// phase is where a logged attempt stands, as far as this owner knows.
type phase int

const (
	phaseLogging   phase = iota // the reservation is on its way into the log
	phaseReady                  // holds room, is sent next
	phaseAhead                  // reserved ahead, holds no room
	phaseSending                // the start is under way
	phaseUncertain              // the worker may or may not have it
	phaseRunning                // the worker has it
	phaseEnded                  // known to have ended, the end is on its way into the log
)

// order is what a running attempt is to be told.
type order int

const (
	orderNone order = iota
	orderCheckpoint
	orderStop
)

// run is an attempt that is logged, or about to be, and whose end is not.
type run struct {
	task        dottertask.Task
	attempt     int
	worker      string
	size        dotterroom.Room // the larger of declared and learned
	phase       phase
	ahead       bool               // while Logging: becomes Ahead, not Ready
	former      *run               // reserved elsewhere, to go back to if this one isn't logged
	reason      string             // why it was placed here
	startedAt   dotterclock.Millis // zero until the start is confirmed
	latestStart dotterclock.Millis // on the worker's clock, of the start sent last
	throttled   int
	throttle    int // percent to be told next; 0 means none
	order       order
	orderReason string
	orderedAt   dotterclock.Millis
	lapsedAt    dotterclock.Millis // since when no lease of it can be live; zero: may be live
}

// holdsRoom reports whether r takes room on its worker.
func (r *run) holdsRoom() bool {
	switch r.phase {
	case phaseLogging:
		return !r.ahead
	case phaseReady, phaseSending, phaseUncertain, phaseRunning:
		return true
	}
	return false
}

// mayRun reports whether the worker may be running r, so that it has a lease.
func (r *run) mayRun() bool {
	return r.phase == phaseSending || r.phase == phaseUncertain || r.phase == phaseRunning
}

// expectedEnd returns when r ends if its declared run time is right.
func (r *run) expectedEnd() dotterclock.Millis {
	return r.startedAt + r.task.RunMillis
}
