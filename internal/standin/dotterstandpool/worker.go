package dotterstandpool

import (
	"strconv"

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
	expiredEnd    int64 // highest number of an end after which the lease has expired
	lastEndNumber int64

	unreachable   bool            // does not answer; its runs continue
	crashed       bool            // runs nothing and does not answer
	successor     string          // after a crash: the worker that answers at its address; empty: none yet
	answersToLose int             // number of upcoming orders that are executed but not answered
	ordersToDelay int             // number of upcoming orders to hold back until Pool.Deliver
	failing       bool            // runs that it starts fail
	previous      dotterroom.Room // capacity before the last change, which counts until previousUntil
	previousUntil dotterclock.Millis
	orderedAt     dotterclock.Millis // when the order that is being carried out was sent
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
	work      *work // nil: the run ignores its pace and stops at once
}

// work is the progress of a run in a pool with costs.
type work struct {
	Costs
	checkpoints bool
	done        float64            // work done, in milliseconds at full pace
	at          dotterclock.Millis // up to when it is counted
	stopAt      dotterclock.Millis // when the run ends after a stop order; 0: it has none
}

// advance counts the work until now.
func (k *work) advance(now dotterclock.Millis, pace int) {
	if k.stopAt == 0 && now > k.at {
		k.done += float64((now-k.at)*dotterclock.Millis(pace)) / 100
		k.at = now
	}
}

// saved returns the work of the last checkpoint.
func (k *work) saved() dotterclock.Millis {
	if !k.checkpoints || k.Save <= 0 {
		return 0
	}
	return dotterclock.Millis(k.done) / k.Save * k.Save
}

// checkpoint returns the last checkpoint, empty if there is none.
func (k *work) checkpoint() string {
	if k.saved() == 0 {
		return ""
	}
	return strconv.FormatInt(int64(k.saved()), 10)
}

// newWork returns the progress of a run that continues from a checkpoint, if there is one.
func newWork(c Costs, checkpoints bool, now dotterclock.Millis, checkpoint string) *work {
	k := &work{Costs: c, checkpoints: checkpoints, at: now}
	if saved, err := strconv.ParseInt(checkpoint, 10, 64); err == nil {
		k.done, k.at = float64(saved), now+c.Restore
	}
	return k
}

// advance counts the run's work until now, and returns when the run is due: now or later.
func (r *run) advance(now dotterclock.Millis) dotterclock.Millis {
	if r.work == nil {
		return r.startedAt + r.duration
	}
	r.work.advance(now, r.pace)
	if r.work.stopAt == 0 && r.work.done >= float64(r.duration) {
		return now
	}
	return now + 1
}

// progress returns the progress in percent.
func (r *run) progress(now dotterclock.Millis) int {
	if r.work == nil {
		return int(100 * (now - r.startedAt) / max(1, r.duration))
	}
	return int(100 * r.work.done / float64(max(1, r.duration)))
}

// clock returns the worker's clock: the time since its current incarnation started.
func (w *Worker) clock() dotterclock.Millis {
	return w.pool.clock.Now() - w.startedAt
}

// tick ends the runs that are complete or whose lease has expired.
func (w *Worker) tick() {
	now := w.pool.clock.Now()
	defer func() {
		if w.leaseUntil < now {
			w.expiredEnd = w.lastEndNumber
		}
	}()
	for _, r := range w.running {
		due := r.advance(now)
		switch {
		case r.work != nil && r.work.stopAt != 0 && r.work.stopAt <= now:
			w.end(r, dotterrun.Stopped, now)
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
		if r.work != nil {
			checkpoint = r.work.checkpoint()
		}
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
	if step, ok := w.pool.stepOf(s.Task); ok && w.pool.costs != nil {
		r.work = newWork(*w.pool.costs, step.Checkpoints, w.pool.clock.Now(), s.Resume)
	}
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
		switch now := w.pool.clock.Now(); {
		case r.work == nil:
			w.end(r, dotterrun.Stopped, now)
		case r.work.stopAt == 0:
			r.work.stopAt = now + r.work.Stop
		}
	}
	return w.answer(dotterrun.NotRefused)
}

// endsPerListing is how many ends a listing has at most.
const endsPerListing = 500

// renew extends the lease, discards acknowledged ends and returns the listing.
func (w *Worker) renew(n dotterrun.Renewal) dotterrun.Listing {
	w.tick()
	if n.Epoch < w.epoch {
		return dotterrun.Listing{Clock: w.clock(), StartedAt: w.startedAt, Refused: dotterrun.RefusedEpoch}
	}
	w.epoch = n.Epoch
	w.leaseUntil = max(w.leaseUntil, w.startedAt+min(n.Until, w.clock()+w.pool.lease))
	for len(w.ended) > 0 && w.ended[0].Number <= n.AcknowledgedUntil {
		w.pool.recordAcknowledgement(w.ended[0], w.ended[0].Number <= w.expiredEnd)
		w.ended = w.ended[1:]
	}
	l := dotterrun.Listing{Clock: w.clock(), StartedAt: w.startedAt, Ended: append([]dotterrun.End(nil), w.ended...)}
	if len(l.Ended) >= endsPerListing {
		l.Ended, l.MoreEnds = l.Ended[:endsPerListing], true
	}
	now := w.pool.clock.Now()
	for _, r := range w.running {
		listed := dotterrun.Running{Ref: r.Ref, Progress: r.progress(now), Tail: r.tail}
		if r.work != nil {
			listed.Checkpoint = r.work.checkpoint()
		}
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
	w.epoch, w.leaseUntil, w.lastEndNumber, w.expiredEnd, w.ended = 0, 0, 0, 0, nil
	w.highestEnded = map[dotterjob.TaskID]int{}
	w.crashed = false
}
