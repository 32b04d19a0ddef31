package dotterboard

import (
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

// worker is the owner's view of a worker.
type worker struct {
	dotterworker.Worker
	inDirectory      bool               // whether the directory shows it
	absentSince      dotterclock.Millis // since when the directory has not shown it
	runs             map[dotterrun.Ref]*task
	unknownRuns      map[dotterrun.Ref]unknownRun // that no task is bound to and that are being stopped
	trials           int                          // number of runs on trial, during which nothing else starts
	reserved         dotterroom.Room              // by runs and unknownRuns
	orders           []*Order
	wake             chan struct{}      // holds one token while orders wait
	contacted        bool               // whether it has answered this owner
	knownAt          string             // address at which it has answered an owner
	clock            dotterclock.Millis // worker's clock in its last listing
	clockAt          dotterclock.Millis // owner's clock when that listing arrived
	clockKnown       bool               // whether clockAhead is known
	clockAhead       dotterclock.Millis // worker's clock less the owner's, at most
	leaseUntil       dotterclock.Millis // end of the longest lease granted, on the worker's clock
	heardAt          dotterclock.Millis // when its last listing arrived
	unansweredSince  dotterclock.Millis // first failed renewal since heardAt; 0: none
	renewalRefused   bool               // whether its last answer to a renewal was a refusal
	closedAt         dotterclock.Millis // when a renewal since heardAt first found its connections closed; 0: none did
	replacedAt       dotterclock.Millis // when another incarnation last answered at its address; 0: none has
	mayHaveRestarted bool               // whether it may have restarted since heardAt
	lastEnd          int64              // highest number of an end processed
	oldestListed     int64              // lowest number of an end in its last listing; 0: it listed none
	unacknowledged   []*end             // processed ends whose effects may not be stored yet, by number
	ackUntil         int64              // number up to which all ends are stored
	incomplete       bool               // whether its last listing left ends out
	listedRuns       int                // number of runs in its last listing
	closing          bool               // whether it gets no tasks until ignored ends are acknowledged
	allStored        chan struct{}      // closed when unacknowledged becomes empty; nil: nobody waits
	faults           faultHistory
	speed            slowdown
	load             *workerLoad        // cached for plans; nil: to be computed again
	movedAt          dotterclock.Millis // when a task was last stopped or paced for a serving task's tail, or unpaced
}

// end is the end of a run, to be acknowledged once its effects are stored.
type end struct {
	worker          *worker
	workerStartedAt dotterclock.Millis // StartedAt of the worker incarnation that reported it
	number          int64
	stored          bool
	ignored         bool // has no effect, and may be acknowledged only if the lease expired after it
}

func newWorker(w dotterworker.Worker) *worker {
	return &worker{
		Worker: w, runs: map[dotterrun.Ref]*task{},
		unknownRuns: map[dotterrun.Ref]unknownRun{}, wake: make(chan struct{}, 1),
	}
}

// free returns the unreserved capacity.
func (w *worker) free() dotterroom.Room {
	return w.Capacity.Sub(w.reserved)
}

// answers reports whether the worker has answered its last renewal.
func (w *worker) answers(now dotterclock.Millis) bool {
	return w.contacted && w.unansweredSince == 0 && now-w.heardAt < maxListingAge
}

// overfull reports whether more is reserved than the worker's capacity, which may have shrunk
// since tasks were bound to it.
func (w *worker) overfull() bool {
	return !w.reserved.Fits(w.Capacity)
}

// estimatedClock returns the estimated present time on the worker's clock.
func (w *worker) estimatedClock(now dotterclock.Millis) dotterclock.Millis {
	return w.clock + now - w.clockAt
}

// clockTolerance is the deviation of a worker's clock from the estimate above which the
// worker is assumed to have restarted, even if the clock has not gone back. It exceeds the
// delay of an answer plus what a clock that runs 2% slow loses between two listings.
const clockTolerance = 1200 * dotterclock.Millisecond

// checkClock compares the clock in an answer to an order with the estimate, to detect a
// restart of the worker before its next listing.
func (w *worker) checkClock(now, clock dotterclock.Millis) {
	if off := clock - w.estimatedClock(now); clock < w.clock || off > clockTolerance || off < -clockTolerance {
		w.mayHaveRestarted = true
	}
}

// acknowledged returns the number up to which the worker may discard ends. It is 0 if the
// worker may have restarted, because the numbers of its ends would then start again. For the
// same reason, it is 0 if the worker has already discarded them: the call may arrive after a
// restart that nobody knows of yet.
func (w *worker) acknowledged() int64 {
	if w.mayHaveRestarted || w.unansweredSince != 0 || w.oldestListed == 0 || w.oldestListed > w.ackUntil {
		return 0
	}
	return w.ackUntil
}

// leaseExpiresAt returns the instant from which no run on the worker can hold a lease. The
// previous owner may have sent orders until predecessorUntil.
func (w *worker) leaseExpiresAt(s Settings, predecessorUntil dotterclock.Millis) dotterclock.Millis {
	if !w.contacted {
		return predecessorUntil + maxElapsed(s.LeaseDuration) + leaseExpiryMargin
	}
	left := max(0, w.leaseUntil-w.clock)
	return w.clockAt + maxElapsed(left) + leaseExpiryMargin
}

const (
	// idleWait is how long a worker without runs may delay its answer to a renewal.
	idleWait = 1600 * dotterclock.Millisecond
	// busyWait is the same for a worker with runs, whose progress is monitored.
	busyWait = 900 * dotterclock.Millisecond
	// interferenceWait is the same for a worker with both filling and serving tasks, or with a
	// run on trial. The worker measures the tails of serving tasks every half second.
	interferenceWait = 500 * dotterclock.Millisecond
)

// renewalWait returns how long the worker may wait for a run to end before it answers a
// renewal.
func (w *worker) renewalWait() dotterclock.Millis {
	serves, fills := false, false
	for _, t := range w.runs {
		serves = serves || t.step.Serves()
		fills = fills || t.step.Fills
	}
	switch {
	case serves && fills, w.trials > 0:
		return interferenceWait
	case len(w.runs) > 0:
		return busyWait
	}
	return idleWait
}

// send queues an order and wakes a loop that delivers orders.
func (w *worker) send(o *Order) {
	w.orders = append(w.orders, o)
	w.signal()
}

// signal wakes a loop that delivers orders.
func (w *worker) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// advanceAck raises ackUntil past the leading ends that are stored.
func (w *worker) advanceAck() {
	for len(w.unacknowledged) > 0 && w.unacknowledged[0].stored {
		w.ackUntil = w.unacknowledged[0].number
		w.unacknowledged = w.unacknowledged[1:]
	}
	w.signalStored()
}

// signalStored wakes the session that waits for the ends to be stored.
func (w *worker) signalStored() {
	if len(w.unacknowledged) == 0 && w.allStored != nil {
		close(w.allStored)
		w.allStored = nil
	}
}

// releaseIgnored permits the acknowledgement of ignored ends with numbers below expired,
// the number of an end by which the worker's lease had certainly expired.
func (w *worker) releaseIgnored(expired int64) {
	for _, e := range w.unacknowledged {
		if e.ignored && e.number < expired {
			e.stored = true
		}
	}
}

// maxUnacknowledged is the number of ends that wait behind an ignored one from which the worker gets no more
// tasks. It lists 500, and its running tasks still have to fit in.
const maxUnacknowledged = 250

// ignored returns the number of ends that may be acknowledged only after the lease has expired.
func (w *worker) ignored() int {
	n := 0
	for _, e := range w.unacknowledged {
		if e.ignored && !e.stored {
			n++
		}
	}
	return n
}

// needsExpiry reports whether the lease is left to expire, so that ignored ends can be
// acknowledged. Nothing runs on the worker that it would end.
func (w *worker) needsExpiry() bool {
	return w.ignored() > 0 && len(w.unknownRuns) == 0 && (len(w.runs) == 0 || w.hasOnlyEnded())
}

// hasOnlyEnded reports whether all runs that are bound to the worker have ended, and the ends are not
// listed yet.
func (w *worker) hasOnlyEnded() bool {
	if !w.incomplete || w.listedRuns > 0 {
		return false
	}
	for _, t := range w.runs {
		if t.phase != running && t.phase != inherited {
			return false
		}
	}
	return true
}

// closeBeforeListIsFull closes a worker on which many ends wait behind an ignored one, and opens
// it again once they are acknowledged. When its runs have ended, its lease expires.
func (b *Board) closeBeforeListIsFull(w *worker) {
	ignored := w.ignored()
	switch {
	case !w.closing && ignored > 0 && len(w.unacknowledged) >= maxUnacknowledged:
		w.closing = true
		b.logger.Warn("worker gets no tasks until its lease has expired, because ends cannot be acknowledged before", zap.String("Worker", w.ID),
			zap.Int("Ends", len(w.unacknowledged)), zap.Int("Ignored", ignored), zap.Int("Runs", len(w.runs)), zap.Int64("FirstEnd", w.unacknowledged[0].number))
	case w.closing && ignored == 0:
		w.closing = false
		b.logger.Info("worker gets tasks again, its ends can be acknowledged", zap.String("Worker", w.ID))
	}
}

// resetAfterRestart sets StartedAt and discards the state of the worker's previous incarnation,
// except its runs.
func (w *worker) resetAfterRestart(startedAt dotterclock.Millis) {
	w.StartedAt = startedAt
	w.lastEnd, w.oldestListed, w.ackUntil, w.unacknowledged = 0, 0, 0, nil
	w.signalStored()
	w.leaseUntil, w.clockKnown = 0, false
	w.faults, w.speed, w.closing, w.incomplete = faultHistory{}, slowdown{}, false, false
}

// maxElapsed returns the longest time on the owner's clock in which a worker's clock may
// advance by duration.
func maxElapsed(duration dotterclock.Millis) dotterclock.Millis {
	return dotterclock.Millis(float64(duration) * clockDriftFactor)
}
