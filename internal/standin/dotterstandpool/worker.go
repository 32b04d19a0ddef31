package dotterstandpool

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

// Worker is one worker of a Pool. Its fields are guarded by the pool's mutex.
type Worker struct {
	dotterworker.Worker
	pool          *Pool
	startedAt     dotterclock.Millis
	epoch         int64
	leaseUntil    dotterclock.Millis // on the pool's clock
	running       map[dotterjob.TaskID]*run
	highestEnded  map[dotterjob.TaskID]int // highest run number that was stopped or has ended
	ended         []dotterrun.End
	lastEndNumber int64

	unreachable   bool            // does not answer; its runs continue
	crashed       bool            // runs nothing and does not answer
	successor     string          // after a crash: the worker that answers at its address; empty: none yet
	answersToLose int             // number of upcoming orders that are executed but not answered
	ordersToDelay int             // number of upcoming orders to hold back until Pool.Deliver
	failing       bool            // runs that it starts fail
	previous      dotterroom.Room // capacity before the last change, which counts until previousUntil
	previousUntil dotterclock.Millis
	slowFactor    dotterclock.Millis // multiplies the duration of new runs; 0 means 1
}

// run is an active run of a task.
type run struct {
	dotterrun.Ref
	startedAt dotterclock.Millis
	duration  dotterclock.Millis
	failing   bool
	deadly    bool // crashes the worker when it is due
	pace      int
	tail      dotterclock.Millis
}

// clock returns the worker's clock: the time since its current incarnation started.
func (w *Worker) clock() dotterclock.Millis {
	return w.pool.clock.Now() - w.startedAt
}

// tick ends the runs that are complete or whose lease has expired.
func (w *Worker) tick() {
	now := w.pool.clock.Now()
	for _, r := range w.running {
		due := r.startedAt + r.duration
		switch {
		case r.deadly && due <= now:
			w.pool.recordCrash(r)
			w.crash()
			return
		case due <= now && due <= w.leaseUntil && !w.isLongRunning(r):
			ending := dotterrun.Done
			if r.failing {
				ending = dotterrun.Failed
			}
			w.end(r, ending, due)
		case w.leaseUntil <= now:
			w.end(r, dotterrun.Lapsed, w.leaseUntil)
		}
	}
}

func (w *Worker) isLongRunning(r *run) bool {
	s, ok := w.pool.stepOf(r.Task)
	return ok && s.LongRunning
}

// end ends a run and adds its end to the listing.
func (w *Worker) end(r *run, ending dotterrun.Ending, at dotterclock.Millis) {
	delete(w.running, r.Task)
	w.highestEnded[r.Task] = max(w.highestEnded[r.Task], r.Run)
	w.lastEndNumber++
	checkpoint := ""
	if ending != dotterrun.Done {
		checkpoint = "saved by " + r.Task.String()
	}
	w.ended = append(w.ended, dotterrun.End{Number: w.lastEndNumber, Ref: r.Ref, Ending: ending, Checkpoint: checkpoint})
	w.pool.recordEnd(w, r, ending, at)
	if s, ok := w.pool.stepOf(r.Task); ok && s.Gang && ending == dotterrun.Done {
		w.pool.endGang(r, dotterrun.Done, at)
	}
}

// start executes a start order.
func (w *Worker) start(s dotterrun.Start) dotterrun.Answer {
	w.tick()
	switch {
	case s.Epoch < w.epoch:
		return w.answer(dotterrun.RefusedEpoch)
	case w.clock() > s.Until:
		return w.answer(dotterrun.RefusedLate)
	}
	w.epoch = s.Epoch
	w.leaseUntil = max(w.leaseUntil, w.startedAt+s.Until)
	if r, ok := w.running[s.Task]; ok && r.Run == s.Run {
		return w.answer(dotterrun.NotRefused)
	}
	if s.Run <= w.highestEnded[s.Task] {
		return w.answer(dotterrun.RefusedOld)
	}
	r := &run{Ref: s.Ref, startedAt: w.pool.clock.Now(), duration: w.pool.durationOf(s.Task) * max(1, w.slowFactor), failing: w.failing || w.pool.jobFails(s.Task), pace: 100}
	if w.pool.deadly[s.Task] {
		r.deadly, r.duration = true, crashDelay
	}
	w.running[s.Task] = r
	w.pool.recordStart(w, r, s)
	return w.answer(dotterrun.NotRefused)
}

// stop executes a stop order.
func (w *Worker) stop(o dotterrun.Order) dotterrun.Answer {
	w.tick()
	if o.Epoch < w.epoch {
		return w.answer(dotterrun.RefusedEpoch)
	}
	w.epoch = o.Epoch
	w.highestEnded[o.Task] = max(w.highestEnded[o.Task], o.Run)
	if r, ok := w.running[o.Task]; ok && r.Run <= o.Run {
		w.end(r, dotterrun.Stopped, w.pool.clock.Now())
	}
	return w.answer(dotterrun.NotRefused)
}

// renew extends the lease, discards acknowledged ends and returns the listing.
func (w *Worker) renew(n dotterrun.Renewal) dotterrun.Listing {
	w.tick()
	if n.Epoch < w.epoch {
		return dotterrun.Listing{Clock: w.clock(), StartedAt: w.startedAt, Refused: dotterrun.RefusedEpoch}
	}
	w.epoch = n.Epoch
	w.leaseUntil = max(w.leaseUntil, w.startedAt+min(n.Until, w.clock()+w.pool.lease))
	for len(w.ended) > 0 && w.ended[0].Number <= n.AcknowledgedUntil {
		w.pool.recordAcknowledgement(w.ended[0])
		w.ended = w.ended[1:]
	}
	l := dotterrun.Listing{Clock: w.clock(), StartedAt: w.startedAt, Ended: append([]dotterrun.End(nil), w.ended...)}
	now := w.pool.clock.Now()
	for _, r := range w.running {
		listed := dotterrun.Running{Ref: r.Ref, Progress: int(100 * (now - r.startedAt) / max(1, r.duration)), Tail: r.tail}
		if s, ok := w.pool.stepOf(r.Task); ok && !s.Serves() {
			listed.Used, listed.Tail = s.Size.MilliCores, 0
		}
		l.Running = append(l.Running, listed)
	}
	return l
}

func (w *Worker) answer(refusal dotterrun.Refusal) dotterrun.Answer {
	return dotterrun.Answer{Clock: w.clock(), Refused: refusal}
}

// crashDelay is how long after its start a deadly task crashes its worker.
const crashDelay = 10 * dotterclock.Millisecond

// crash ends all runs, discards all state and answers no more.
func (w *Worker) crash() {
	var gangs []*run
	for _, r := range w.running {
		if s, ok := w.pool.stepOf(r.Task); ok && s.Gang {
			gangs = append(gangs, r)
		}
	}
	w.restart()
	for _, r := range gangs {
		w.pool.endGang(r, dotterrun.Broken, w.pool.clock.Now())
	}
	w.crashed = true
	if w.pool.returnAfter > 0 {
		w.pool.returns = append(w.pool.returns, returning{w.ID, w.pool.clock.Now() + w.pool.returnAfter})
	}
}

// restart ends all runs, discards all state and starts a new incarnation.
func (w *Worker) restart() {
	for _, r := range w.running {
		delete(w.running, r.Task)
		w.pool.recordEnd(w, r, dotterrun.Broken, w.pool.clock.Now())
	}
	w.startedAt = w.pool.clock.Now()
	w.epoch, w.leaseUntil, w.lastEndNumber, w.ended = 0, 0, 0, nil
	w.highestEnded = map[dotterjob.TaskID]int{}
	w.crashed = false
}
