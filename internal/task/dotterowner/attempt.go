package dotterowner

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// phase is the state of a logged attempt as far as this owner knows it; see the
// package comment.
type phase int

const (
	phaseLogging     phase = iota // the reservation is not yet committed to the log
	phaseReady                    // holds capacity; its start is sent next
	phasePreassigned              // in the log, holds no capacity yet
	phaseSending                  // the start was sent and not yet answered
	phaseUncertain                // the worker may or may not have the attempt
	phaseRunning                  // the worker has confirmed the attempt
	phaseEnded                    // known to have ended; the end is not yet committed to the log
)

// orderKind is the order that is to be sent to the worker of a running attempt.
type orderKind int

const (
	orderNone orderKind = iota
	orderCheckpoint
	orderStop
)

// attempt is an attempt whose reservation is in the log or proposed and whose end
// is not yet committed.
type attempt struct {
	task            dottertask.Task
	number          int
	worker          string
	size            dotterroom.Room // the larger of the declared and the measured size
	phase           phase
	preassigned     bool               // in phaseLogging: the next phase is phasePreassigned, not phaseReady
	replaced        *attempt           // preassigned attempt that is restored if this one isn't committed
	reason          string             // why the worker was chosen, for the decision log
	startedAt       dotterclock.Millis // zero until the start is confirmed
	sound           bool               // reported as running for soundAge
	latestStart     dotterclock.Millis // latest start that the last start command allowed, on the worker's clock
	throttlePercent int                // throttle in force; 0 means none
	pendingThrottle int                // throttle percentage to send next; 0 means none
	pendingOrder    orderKind
	orderReason     string
	orderSentAt     dotterclock.Millis
	expiredAt       dotterclock.Millis // time since which the lease is known to have expired; 0 if it may be live
}

// holdsCapacity reports whether a counts against its worker's capacity.
func (a *attempt) holdsCapacity() bool {
	switch a.phase {
	case phaseLogging:
		return !a.preassigned
	case phaseReady, phaseSending, phaseUncertain, phaseRunning:
		return true
	}
	return false
}

// mayBeRunning reports whether the worker may be running a and a lease may
// therefore be live.
func (a *attempt) mayBeRunning() bool {
	return a.phase == phaseSending || a.phase == phaseUncertain || a.phase == phaseRunning
}

// expectedEnd returns when a ends according to its declared run time.
func (a *attempt) expectedEnd() dotterclock.Millis {
	return a.startedAt + a.task.RunMillis
}
