package dotterstandpool

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

var _ dotterelusher.RunClient = (*Pool)(nil)

// Pool is an in-memory pool of workers. It is safe for concurrent use.
type Pool struct {
	clock dotterelusher.Clock
	lease dotterclock.Millis

	mu          sync.Mutex
	workers     map[string]*Worker
	jobs        map[dotterjob.ID]dotterjob.Job
	durations   map[dotterjob.TaskID]dotterclock.Millis
	failingJobs map[dotterjob.ID]bool
	deadly      map[dotterjob.TaskID]bool
	returnAfter dotterclock.Millis // 0: workers that crash do not return by themselves
	returns     []returning
	delayed     []func()
	history     history
	costs       *Costs // nil: runs ignore paces, stop at once and start from the beginning
}

// returning is a worker that has crashed and returns at an instant.
type returning struct {
	id string
	at dotterclock.Millis
}

// New returns an empty pool. A renewal extends a worker's lease to at most the
// duration lease from now.
func New(clock dotterelusher.Clock, lease dotterclock.Millis) *Pool {
	return &Pool{
		clock: clock, lease: lease, workers: map[string]*Worker{}, jobs: map[dotterjob.ID]dotterjob.Job{},
		durations: map[dotterjob.TaskID]dotterclock.Millis{}, failingJobs: map[dotterjob.ID]bool{}, deadly: map[dotterjob.TaskID]bool{}, history: newHistory(),
	}
}

// Add adds a worker.
func (p *Pool) Add(w dotterworker.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(w)
}

func (p *Pool) add(w dotterworker.Worker) {
	p.workers[w.ID] = &Worker{
		Worker: w, pool: p, startedAt: p.clock.Now(),
		running: map[dotterjob.TaskID]*run{}, highestEnded: map[dotterjob.TaskID]int{},
	}
}

// AddJob registers a job whose tasks may be started.
func (p *Pool) AddJob(j dotterjob.Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs[j.ID] = j
}

// FailAlways makes every run of the job fail.
func (p *Pool) FailAlways(id dotterjob.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failingJobs[id] = true
}

// MakeDeadly makes each run of the task crash its worker soon after the start.
func (p *Pool) MakeDeadly(id dotterjob.TaskID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadly[id] = true
}

// Costs are what the stop of a run costs.
type Costs struct {
	Stop    dotterclock.Millis // from the stop order until the run has ended
	Restore dotterclock.Millis // that a run needs before it continues from a checkpoint
	Save    dotterclock.Millis // work between two checkpoints of a run
}

// SetCosts makes runs that start from now on work at their pace, save checkpoints if their
// step has them, continue from the last one and end only some time after a stop order.
func (p *Pool) SetCosts(c Costs) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.costs = &c
}

// ReturnAfter makes workers that crash from now on return after the delay, as new workers
// at the same address.
func (p *Pool) ReturnAfter(delay dotterclock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.returnAfter = delay
}

// SetCapacity changes the capacity that the directory lists for a worker. Starts that are sent within
// the duration grace, in which others learn of it, may exceed it, also if they are carried out late.
func (p *Pool) SetCapacity(id string, capacity dotterroom.Room, grace dotterclock.Millis) {
	p.update(id, func(w *Worker) {
		w.previous, w.previousUntil = w.Capacity, p.clock.Now()+grace
		w.Capacity = capacity
	})
}

// Listed returns the workers listed in the directory: those that have not crashed.
func (p *Pool) Listed() map[string]dotterworker.Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bringBack()
	listed := map[string]dotterworker.Worker{}
	for id, w := range p.workers {
		if !w.crashed {
			listed[id] = w.Worker
		}
	}
	return listed
}

// SetUnreachable makes a worker stop or resume answering. Its runs continue.
func (p *Pool) SetUnreachable(id string, unreachable bool) {
	p.update(id, func(w *Worker) { w.unreachable = unreachable })
}

// SetFailing sets whether runs that a worker starts from now on fail.
func (p *Pool) SetFailing(id string, failing bool) {
	p.update(id, func(w *Worker) { w.failing = failing })
}

// FailRuns ends runs of the job on the worker as failed, those with the lowest indexes first and at most count, and returns them.
func (p *Pool) FailRuns(id string, job dotterjob.ID, count int) []dotterrun.Ref {
	var failed []dotterrun.Ref
	p.update(id, func(w *Worker) {
		for _, task := range slices.SortedFunc(maps.Keys(w.running), func(a, b dotterjob.TaskID) int { return cmp.Compare(a.Index, b.Index) }) {
			if r := w.running[task]; task.Job == job && len(failed) < count {
				w.end(r, dotterrun.Failed, p.clock.Now())
				failed = append(failed, r.Ref)
			}
		}
	})
	return failed
}

// SetDraining sets whether the directory lists a worker as draining.
func (p *Pool) SetDraining(id string, draining bool) {
	p.update(id, func(w *Worker) { w.Draining = draining })
}

// SetTail sets the tail latency that a worker lists for a running task.
func (p *Pool) SetTail(id string, task dotterjob.TaskID, tail dotterclock.Millis) {
	p.update(id, func(w *Worker) {
		if r, ok := w.running[task]; ok {
			r.tail = tail
		}
	})
}

// SetSlow multiplies the duration of runs that a worker starts from now on by factor.
func (p *Pool) SetSlow(id string, factor int) {
	p.update(id, func(w *Worker) { w.slowFactor = dotterclock.Millis(factor) })
}

// LoseAnswers makes a worker execute the next count orders without answering.
func (p *Pool) LoseAnswers(id string, count int) {
	p.update(id, func(w *Worker) { w.answersToLose = count })
}

// Delay holds back the next count orders to a worker until Deliver and leaves them unanswered.
func (p *Pool) Delay(id string, count int) {
	p.update(id, func(w *Worker) { w.ordersToDelay = count })
}

// Deliver executes the delayed orders.
func (p *Pool) Deliver() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, deliver := range p.delayed {
		deliver()
	}
	p.delayed = nil
}

// Crash discards all state of a worker. It does not answer until Restart.
func (p *Pool) Crash(id string) {
	p.update(id, func(w *Worker) { w.crash() })
}

// bringBack adds the successors of the crashed workers that are due to return.
func (p *Pool) bringBack() {
	for _, w := range p.workers {
		w.tick()
	}
	now := p.clock.Now()
	p.returns = slices.DeleteFunc(p.returns, func(r returning) bool {
		if r.at > now {
			return false
		}
		w := p.workers[r.id]
		successor := w.Worker
		successor.ID = w.ID + "'"
		successor.StartedAt = now
		w.successor = successor.ID
		p.add(successor)
		return true
	})
}

// AddEnd lets the worker list the end with Done of a run that it has not had, and returns its number.
func (p *Pool) AddEnd(id string, ref dotterrun.Ref) int64 {
	number := int64(0)
	p.update(id, func(w *Worker) {
		w.lastEndNumber++
		number = w.lastEndNumber
		w.ended = append(w.ended, dotterrun.End{Number: number, Ref: ref, Ending: dotterrun.Done})
	})
	return number
}

// Restart discards all state of a worker and starts a new incarnation, unless the worker
// returns by itself under another ID.
func (p *Pool) Restart(id string) {
	p.update(id, func(w *Worker) {
		if !w.crashed || p.returnAfter == 0 {
			w.restart()
		}
	})
}

func (p *Pool) update(id string, change func(*Worker)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	w.tick()
	change(w)
}

// Running returns the active runs by worker.
func (p *Pool) Running() map[string][]dotterrun.Ref {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := map[string][]dotterrun.Ref{}
	for id, w := range p.workers {
		w.tick()
		for _, r := range w.running {
			runs[id] = append(runs[id], r.Ref)
		}
	}
	return runs
}

// Finished reports whether every task of the job has finished.
func (p *Pool) Finished(id dotterjob.ID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		w.tick()
	}
	j, ok := p.jobs[id]
	for k := range j.Occurrences() {
		for i := range j.Steps {
			ok = ok && len(p.openTasks(j, k, i)) == 0
		}
	}
	return ok
}

// Tick advances all workers to the current time.
func (p *Pool) Tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(p.workers)) {
		p.workers[id].tick()
	}
}

// Start implements dotterelusher.RunClient.
func (p *Pool) Start(_ context.Context, w dotterworker.Worker, s dotterrun.Start) (dotterrun.Answer, error) {
	return p.execute(w.ID, func(w *Worker) dotterrun.Answer { return w.start(s) })
}

// Stop implements dotterelusher.RunClient.
func (p *Pool) Stop(_ context.Context, w dotterworker.Worker, o dotterrun.Order) (dotterrun.Answer, error) {
	return p.execute(w.ID, func(w *Worker) dotterrun.Answer { return w.stop(o) })
}

// Pace implements dotterelusher.RunClient.
func (p *Pool) Pace(_ context.Context, w dotterworker.Worker, o dotterrun.Order) (dotterrun.Answer, error) {
	return p.execute(w.ID, func(w *Worker) dotterrun.Answer {
		w.tick() // counts the work at the old pace
		if r, ok := w.running[o.Task]; ok && r.Run == o.Run {
			r.pace = o.Percent
		}
		return w.answer(dotterrun.NotRefused)
	})
}

func (p *Pool) execute(id string, apply func(*Worker) dotterrun.Answer) (dotterrun.Answer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bringBack()
	w, ok := p.workers[id]
	switch {
	case ok && w.successor != "" && !p.workers[w.successor].crashed:
		return dotterrun.Answer{Refused: dotterrun.RefusedIncarnation}, nil
	case ok && w.crashed:
		return dotterrun.Answer{}, errClosed
	case !ok || w.unreachable:
		return dotterrun.Answer{}, dotterelusher.ErrWorkerIndeterminate
	case w.ordersToDelay > 0:
		w.ordersToDelay--
		startedAt, sentAt := w.startedAt, p.clock.Now()
		p.delayed = append(p.delayed, func() {
			if w.startedAt == startedAt {
				w.orderedAt = sentAt
				apply(w)
			}
		})
		return dotterrun.Answer{}, dotterelusher.ErrWorkerIndeterminate
	}
	w.orderedAt = p.clock.Now()
	answer := apply(w)
	if w.answersToLose > 0 {
		w.answersToLose--
		return dotterrun.Answer{}, dotterelusher.ErrWorkerIndeterminate
	}
	return answer, nil
}

// errClosed is the error of a call to a worker that has crashed.
var errClosed = errors.Join(dotterelusher.ErrWorkerIndeterminate, dotterelusher.ErrWorkerClosed)

// Renew implements dotterelusher.RunClient. It waits for an end or a refusal for at
// most n.Wait. A call that waits when its worker restarts gets no answer.
func (p *Pool) Renew(ctx context.Context, w dotterworker.Worker, n dotterrun.Renewal) (dotterrun.Listing, error) {
	const pollInterval = 5 * dotterclock.Millisecond
	deadline := p.clock.Now() + n.Wait
	for first := dotterclock.Millis(0); ; {
		l, err := p.list(w.ID, n)
		if first == 0 {
			first = l.StartedAt
		}
		if err == nil && l.StartedAt != first {
			return dotterrun.Listing{}, dotterelusher.ErrWorkerIndeterminate
		}
		if err != nil || len(l.Ended) > 0 || l.Refused != dotterrun.NotRefused || p.clock.Now() >= deadline {
			return l, err
		}
		n.AcknowledgedUntil = 0 // acknowledges what had ended when the call arrived
		select {
		case <-ctx.Done():
			return dotterrun.Listing{}, dotterelusher.ErrWorkerIndeterminate
		case <-p.clock.After(pollInterval):
		}
	}
}

func (p *Pool) list(id string, n dotterrun.Renewal) (dotterrun.Listing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bringBack()
	w, ok := p.workers[id]
	switch {
	case ok && w.successor != "" && !p.workers[w.successor].crashed:
		return dotterrun.Listing{Refused: dotterrun.RefusedIncarnation}, nil
	case ok && w.crashed:
		return dotterrun.Listing{}, errClosed
	case !ok || w.unreachable:
		return dotterrun.Listing{}, dotterelusher.ErrWorkerIndeterminate
	}
	return w.renew(n), nil
}

// endGang ends the other runs of a gang of which one has ended: its members end together.
func (p *Pool) endGang(done *run, ending dotterrun.Ending, at dotterclock.Millis) {
	for _, w := range p.workers {
		for _, r := range w.running {
			if r.Run == done.Run && r.Task.Job == done.Task.Job && r.Task.Occurrence == done.Task.Occurrence && r.Task.Step == done.Task.Step {
				w.end(r, ending, at)
			}
		}
	}
}

func (p *Pool) stepOf(id dotterjob.TaskID) (dotterjob.Step, bool) {
	j, ok := p.jobs[id.Job]
	if !ok || id.Step >= len(j.Steps) {
		return dotterjob.Step{}, false
	}
	return j.Steps[id.Step], true
}

// durationOf returns how long a task runs: the estimate of its step plus up to 6 ms
// that depend on the task's index.
func (p *Pool) durationOf(id dotterjob.TaskID) dotterclock.Millis {
	s, _ := p.stepOf(id)
	return max(1, s.Estimate) + dotterclock.Millis(id.Index%7)
}

func (p *Pool) jobFails(id dotterjob.TaskID) bool {
	return p.failingJobs[id.Job]
}

// reserved returns the resources reserved by the runs on a worker.
func (p *Pool) reserved(w *Worker) dotterroom.Room {
	var sum dotterroom.Room
	for _, r := range w.running {
		if s, ok := p.stepOf(r.Task); ok {
			sum = sum.Add(s.Reserved())
		}
	}
	return sum
}

// Violations returns the violations recorded so far.
func (p *Pool) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.history.violations)
}

// Starts returns how many runs of the job were started.
func (p *Pool) Starts(id dotterjob.ID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.history.starts[id]
}

// StartsOf returns how many runs of the task were started.
func (p *Pool) StartsOf(id dotterjob.TaskID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.history.taskStarts[id]
}

func (p *Pool) addViolation(format string, values ...any) {
	p.history.violations = append(p.history.violations, fmt.Sprintf("at %d: ", p.clock.Now())+fmt.Sprintf(format, values...))
}
