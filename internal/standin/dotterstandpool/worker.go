package dotterstandpool

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

// Worker is one worker of a Pool. The pool's lock guards it.
type Worker struct {
	dotterworker.Worker
	pool    *Pool
	born    dotterclock.Millis
	epoch   int64
	until   dotterclock.Millis // lease, on the pool's clock
	running map[dotterjob.TaskID]*run
	closed  map[dotterjob.TaskID]int // highest run stopped or ended
	ended   []dotterrun.End
	number  int64

	dark    bool               // answers nobody; what runs goes on
	crashed bool               // runs nothing and answers nobody
	mute    int                // answers to lose: the order is carried out
	late    int                // orders to carry out only when the pool says so
	failing bool               // every run fails at once
	slow    dotterclock.Millis // factor by which runs take longer; 0: none
}

// run is a run that is at work.
type run struct {
	dotterrun.Ref
	begun   dotterclock.Millis
	span    dotterclock.Millis
	failing bool
	pace    int
	tail    dotterclock.Millis
}

// clock returns the worker's clock: milliseconds of its present life.
func (w *Worker) clock() dotterclock.Millis {
	return w.pool.clock.Now() - w.born
}

// settle carries out what is due: runs end, the lease lapses.
func (w *Worker) settle() {
	now := w.pool.clock.Now()
	for _, r := range w.running {
		due := r.begun + r.span
		switch {
		case due <= now && due <= w.until && !w.isLasting(r):
			ending := dotterrun.Done
			if r.failing {
				ending = dotterrun.Failed
			}
			w.end(r, ending, due)
		case w.until <= now:
			w.end(r, dotterrun.Lapsed, w.until)
		}
	}
}

func (w *Worker) isLasting(r *run) bool {
	s, ok := w.pool.stepOf(r.Task)
	return ok && s.LongRunning
}

// end ends a run and lists its end.
func (w *Worker) end(r *run, ending dotterrun.Ending, at dotterclock.Millis) {
	delete(w.running, r.Task)
	w.closed[r.Task] = max(w.closed[r.Task], r.Run)
	w.number++
	checkpoint := ""
	if ending != dotterrun.Done {
		checkpoint = "saved by " + r.Task.String()
	}
	w.ended = append(w.ended, dotterrun.End{Number: w.number, Ref: r.Ref, Ending: ending, Checkpoint: checkpoint})
	w.pool.noteEnd(w, r, ending, at)
}

// start carries a start out.
func (w *Worker) start(s dotterrun.Start) dotterrun.Answer {
	w.settle()
	switch {
	case s.Epoch < w.epoch:
		return w.refuse(dotterrun.RefusedEpoch)
	case w.clock() > s.Until:
		return w.refuse(dotterrun.RefusedLate)
	}
	w.epoch = s.Epoch
	w.until = max(w.until, w.born+s.Until)
	if r, ok := w.running[s.Task]; ok && r.Run == s.Run {
		return w.refuse(dotterrun.NotRefused)
	}
	if s.Run <= w.closed[s.Task] {
		return w.refuse(dotterrun.RefusedOld)
	}
	r := &run{Ref: s.Ref, begun: w.pool.clock.Now(), span: w.pool.spanOf(s.Task) * max(1, w.slow), failing: w.failing || w.pool.isFailing(s.Task), pace: 100}
	w.running[s.Task] = r
	w.pool.noteStart(w, r, s)
	return w.refuse(dotterrun.NotRefused)
}

// stop carries a stop out.
func (w *Worker) stop(o dotterrun.Order) dotterrun.Answer {
	w.settle()
	if o.Epoch < w.epoch {
		return w.refuse(dotterrun.RefusedEpoch)
	}
	w.epoch = o.Epoch
	w.closed[o.Task] = max(w.closed[o.Task], o.Run)
	if r, ok := w.running[o.Task]; ok && r.Run <= o.Run {
		w.end(r, dotterrun.Stopped, w.pool.clock.Now())
	}
	return w.refuse(dotterrun.NotRefused)
}

// renew renews the lease and returns the listing.
func (w *Worker) renew(n dotterrun.Renewal) dotterrun.Listing {
	w.settle()
	if n.Epoch < w.epoch {
		return dotterrun.Listing{Clock: w.clock(), StartedAt: w.born, Refused: dotterrun.RefusedEpoch}
	}
	w.epoch = n.Epoch
	w.until = max(w.until, w.born+min(n.Until, w.clock()+w.pool.lease))
	for len(w.ended) > 0 && w.ended[0].Number <= n.AcknowledgedUntil {
		w.pool.noteAcknowledged(w.ended[0])
		w.ended = w.ended[1:]
	}
	l := dotterrun.Listing{Clock: w.clock(), StartedAt: w.born, Ended: append([]dotterrun.End(nil), w.ended...)}
	now := w.pool.clock.Now()
	for _, r := range w.running {
		listed := dotterrun.Running{Ref: r.Ref, Progress: int(100 * (now - r.begun) / max(1, r.span)), Tail: r.tail}
		if s, ok := w.pool.stepOf(r.Task); ok && !s.Serves() {
			listed.Used, listed.Tail = s.Size.MilliCores, 0
		}
		l.Running = append(l.Running, listed)
	}
	return l
}

func (w *Worker) refuse(refusal dotterrun.Refusal) dotterrun.Answer {
	return dotterrun.Answer{Clock: w.clock(), Refused: refusal}
}

// restart begins a new life: nothing runs, nothing is known.
func (w *Worker) restart() {
	for _, r := range w.running {
		delete(w.running, r.Task)
		w.pool.noteEnd(w, r, dotterrun.Broken, w.pool.clock.Now())
	}
	w.born = w.pool.clock.Now()
	w.epoch, w.until, w.number, w.ended = 0, 0, 0, nil
	w.closed = map[dotterjob.TaskID]int{}
	w.crashed = false
}
