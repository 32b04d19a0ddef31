package dotterowner

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// phase is where a logged attempt stands, as far as this owner knows.
type phase int

const (
	phaseLogging     phase = iota // the reservation is on its way into the log
	phaseReady                    // holds room, is sent next
	phasePreassigned              // reserved ahead, holds no room
	phaseSending                  // the start is under way
	phaseUncertain                // the worker may or may not have it
	phaseRunning                  // the worker has it
	phaseEnded                    // known to have ended, the end is on its way into the log
)

// order is what a running attempt is to be told.
type orderKind int

const (
	orderNone orderKind = iota
	orderCheckpoint
	orderStop
)

// run is an attempt that is logged, or about to be, and whose end is not.
type attempt struct {
	task            dottertask.Task
	number          int
	worker          string
	size            dotterroom.Room // the larger of declared and learned
	phase           phase
	preassigned     bool               // while Logging: becomes Ahead, not Ready
	replaced        *attempt           // reserved elsewhere, to go back to if this one isn't logged
	reason          string             // why it was placed here
	startedAt       dotterclock.Millis // zero until the start is confirmed
	latestStart     dotterclock.Millis // on the worker's clock, of the start sent last
	throttlePercent int
	pendingThrottle int // percent to be told next; 0 means none
	pendingOrder    orderKind
	orderReason     string
	orderSentAt     dotterclock.Millis
	lapsedAt        dotterclock.Millis // since when no lease of it can be live; zero: may be live
}

// holdsRoom reports whether r takes room on its worker.
func (a *attempt) holdsCapacity() bool {
	switch a.phase {
	case phaseLogging:
		return !a.preassigned
	case phaseReady, phaseSending, phaseUncertain, phaseRunning:
		return true
	}
	return false
}

// mayRun reports whether the worker may be running r, so that it has a lease.
func (a *attempt) mayBeRunning() bool {
	return a.phase == phaseSending || a.phase == phaseUncertain || a.phase == phaseRunning
}

// expectedEnd returns when r ends if its declared run time is right.
func (a *attempt) expectedEnd() dotterclock.Millis {
	return a.startedAt + a.task.RunMillis
}
