package dotterboard

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

// worker is a worker as the owner knows it.
type worker struct {
	dotterworker.Worker
	listed     bool               // the directory shows it
	missingAt  dotterclock.Millis // since when the directory does not
	runs       map[dotterrun.Ref]*task
	strangers  map[dotterrun.Ref]dotterroom.Room // runs that are not ours any more, being stopped
	reserved   dotterroom.Room                   // by runs and strangers
	orders     []*Order
	wake       chan struct{} // holds one token while orders wait
	asked      bool          // it has answered in this epoch
	clock      dotterclock.Millis
	clockAt    dotterclock.Millis // owner's clock when clock was received
	leaseUntil dotterclock.Millis // latest lease sent, on the worker's clock
	heardAt    dotterclock.Millis
	failedAt   dotterclock.Millis // first renewal without an answer since heardAt; 0: none
	doubted    bool               // it may have begun a new life since heardAt
	taken      int64              // highest end taken in
	unsaved    []*end             // ends that are not acknowledged, by number
	ackUntil   int64
	conduct    conduct
	speed      speed
	load       *workerLoad              // kept for plans; nil: something has changed
	movedAt    dotterclock.Millis // when tasks were last moved for a serving one
}

// end is a run's end on its way to the store.
type end struct {
	worker *worker
	born   dotterclock.Millis
	number int64
	saved  bool
}

func newWorker(w dotterworker.Worker) *worker {
	return &worker{
		Worker: w, runs: map[dotterrun.Ref]*task{},
		strangers: map[dotterrun.Ref]dotterroom.Room{}, wake: make(chan struct{}, 1),
	}
}

// free returns the room that nothing has reserved.
func (w *worker) free() dotterroom.Room {
	return w.Capacity.Sub(w.reserved)
}

// clockNow returns the worker's clock, estimated.
func (w *worker) clockNow(now dotterclock.Millis) dotterclock.Millis {
	return w.clock + now - w.clockAt
}

// clockTolerance is how far a worker's clock may be from the estimate before it is
// taken to be that of a new life, even if it has not gone back: above the delay of an answer and what a clock that
// is 2% slow loses between two listings.
const clockTolerance = 1200 * dotterclock.Millisecond

// hear compares the clock in the worker's answer to an order with the estimate.
func (w *worker) hear(now, clock dotterclock.Millis) {
	if off := clock - w.clockNow(now); clock < w.clock || off > clockTolerance || off < -clockTolerance {
		w.doubted = true
	}
}

// acknowledged returns the number up to which ends may be forgotten. It says nothing
// to what may be a new life, whose ends have the same numbers.
func (w *worker) acknowledged() int64 {
	if w.doubted || w.failedAt != 0 {
		return 0
	}
	return w.ackUntil
}

// lapsedAt returns when everything on the worker has surely lost its lease. A
// predecessor may have renewed it until the instant former.
func (w *worker) lapsedAt(s Settings, former dotterclock.Millis) dotterclock.Millis {
	if !w.asked {
		return former + stretched(s.LeaseSpan) + lapseMargin
	}
	left := max(0, w.leaseUntil-w.clock)
	return w.clockAt + stretched(left) + lapseMargin
}

const (
	// idleWait is how long a worker without runs may wait before it answers a renewal.
	idleWait = 1600 * dotterclock.Millisecond
	// busyWait is the same with runs: their progress has to be seen.
	busyWait = 900 * dotterclock.Millisecond
	// mixedWait is the same with tasks that press on serving ones, whose tails
	// the worker measures anew each half second.
	mixedWait = 500 * dotterclock.Millisecond
)

// wait returns how long the worker may wait for an end before it answers a renewal.
func (w *worker) wait() dotterclock.Millis {
	serves, presses := false, false
	for _, t := range w.runs {
		serves = serves || t.step.Serves()
		presses = presses || t.step.Fills
	}
	switch {
	case serves && presses:
		return mixedWait
	case len(w.runs) > 0:
		return busyWait
	}
	return idleWait
}

// send queues an order.
func (w *worker) send(o *Order) {
	w.orders = append(w.orders, o)
	w.rouse()
}

// rouse wakes a loop that gives orders.
func (w *worker) rouse() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// save marks ends as stored and raises the number up to which all are.
func (w *worker) save() {
	for len(w.unsaved) > 0 && w.unsaved[0].saved {
		w.ackUntil = w.unsaved[0].number
		w.unsaved = w.unsaved[1:]
	}
}

// reborn forgets what a former life of the worker said.
func (w *worker) reborn(born dotterclock.Millis) {
	w.Born = born
	w.taken, w.ackUntil, w.unsaved = 0, 0, nil
	w.leaseUntil = 0
	for ref, room := range w.strangers {
		w.reserved = w.reserved.Sub(room)
		delete(w.strangers, ref)
	}
	w.conduct, w.speed = conduct{}, speed{}
}

func stretched(span dotterclock.Millis) dotterclock.Millis {
	return dotterclock.Millis(float64(span) * clockSlack)
}
