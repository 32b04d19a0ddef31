package dotterstandpool

import (
	"context"
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

// Pool is workers in memory, safe for concurrent use.
type Pool struct {
	clock dotterelusher.Clock
	lease dotterclock.Millis

	mu      sync.Mutex
	workers map[string]*Worker
	jobs    map[dotterjob.ID]dotterjob.Job
	spans   map[dotterjob.TaskID]dotterclock.Millis
	failing map[dotterjob.ID]bool
	delayed []func()
	truth   truth
}

// New returns a pool without workers, whose leases last at most lease.
func New(clock dotterelusher.Clock, lease dotterclock.Millis) *Pool {
	return &Pool{
		clock: clock, lease: lease, workers: map[string]*Worker{}, jobs: map[dotterjob.ID]dotterjob.Job{},
		spans: map[dotterjob.TaskID]dotterclock.Millis{}, failing: map[dotterjob.ID]bool{}, truth: newTruth(),
	}
}

// Add adds a worker.
func (p *Pool) Add(w dotterworker.Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers[w.ID] = &Worker{
		Worker: w, pool: p, born: p.clock.Now(),
		running: map[dotterjob.TaskID]*run{}, closed: map[dotterjob.TaskID]int{},
	}
}

// AddJob tells the pool of a job whose tasks may be started.
func (p *Pool) AddJob(j dotterjob.Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs[j.ID] = j
}

// FailAlways makes every run of the job fail.
func (p *Pool) FailAlways(id dotterjob.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing[id] = true
}

// Listed returns the workers that the directory shows: those that are not dark or crashed.
func (p *Pool) Listed() map[string]dotterworker.Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]dotterworker.Worker{}
	for id, w := range p.workers {
		if !w.crashed {
			listed[id] = w.Worker
		}
	}
	return listed
}

// SetDark makes a worker answer nobody, or answer again; what it runs goes on.
func (p *Pool) SetDark(id string, dark bool) {
	p.change(id, func(w *Worker) { w.dark = dark })
}

// SetFailing makes every run that a worker starts fail.
func (p *Pool) SetFailing(id string, failing bool) {
	p.change(id, func(w *Worker) { w.failing = failing })
}

// SetDraining makes the directory show a worker as draining.
func (p *Pool) SetDraining(id string, draining bool) {
	p.change(id, func(w *Worker) { w.Draining = draining })
}

// SetTail sets the tail that a task on a worker lists.
func (p *Pool) SetTail(id string, task dotterjob.TaskID, tail dotterclock.Millis) {
	p.change(id, func(w *Worker) {
		if r, ok := w.running[task]; ok {
			r.tail = tail
		}
	})
}

// SetSlow makes runs that a worker starts from now on take factor times as long.
func (p *Pool) SetSlow(id string, factor int) {
	p.change(id, func(w *Worker) { w.slow = dotterclock.Millis(factor) })
}

// LoseAnswers makes a worker carry the next count orders out without answering.
func (p *Pool) LoseAnswers(id string, count int) {
	p.change(id, func(w *Worker) { w.mute = count })
}

// Delay makes a worker keep the next count orders until Deliver, without answering.
func (p *Pool) Delay(id string, count int) {
	p.change(id, func(w *Worker) { w.late = count })
}

// Deliver carries the delayed orders out.
func (p *Pool) Deliver() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, carryOut := range p.delayed {
		carryOut()
	}
	p.delayed = nil
}

// Crash ends what runs on a worker; it answers nobody until Restart.
func (p *Pool) Crash(id string) {
	p.change(id, func(w *Worker) {
		w.restart()
		w.crashed = true
	})
}

// Restart begins a new life of a worker.
func (p *Pool) Restart(id string) {
	p.change(id, func(w *Worker) { w.restart() })
}

func (p *Pool) change(id string, change func(*Worker)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	w.settle()
	change(w)
}

// Running returns the runs at work, by worker.
func (p *Pool) Running() map[string][]dotterrun.Ref {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := map[string][]dotterrun.Ref{}
	for id, w := range p.workers {
		w.settle()
		for _, r := range w.running {
			runs[id] = append(runs[id], r.Ref)
		}
	}
	return runs
}

// Settle carries out on all workers what is due.
func (p *Pool) Settle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(p.workers)) {
		p.workers[id].settle()
	}
}

// Start implements dotterelusher.RunClient.
func (p *Pool) Start(_ context.Context, w dotterworker.Worker, s dotterrun.Start) (dotterrun.Answer, error) {
	return p.order(w.ID, func(w *Worker) dotterrun.Answer { return w.start(s) })
}

// Stop implements dotterelusher.RunClient.
func (p *Pool) Stop(_ context.Context, w dotterworker.Worker, o dotterrun.Order) (dotterrun.Answer, error) {
	return p.order(w.ID, func(w *Worker) dotterrun.Answer { return w.stop(o) })
}

// Pace implements dotterelusher.RunClient.
func (p *Pool) Pace(_ context.Context, w dotterworker.Worker, o dotterrun.Order) (dotterrun.Answer, error) {
	return p.order(w.ID, func(w *Worker) dotterrun.Answer {
		if r, ok := w.running[o.Task]; ok && r.Run == o.Run {
			r.pace = o.Percent
		}
		return w.refuse(dotterrun.NotRefused)
	})
}

func (p *Pool) order(id string, carryOut func(*Worker) dotterrun.Answer) (dotterrun.Answer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	switch {
	case !ok || w.dark || w.crashed:
		return dotterrun.Answer{}, dotterelusher.ErrWorkerIndeterminate
	case w.late > 0:
		w.late--
		born := w.born
		p.delayed = append(p.delayed, func() {
			if w.born == born {
				carryOut(w)
			}
		})
		return dotterrun.Answer{}, dotterelusher.ErrWorkerIndeterminate
	}
	answer := carryOut(w)
	if w.mute > 0 {
		w.mute--
		return dotterrun.Answer{}, dotterelusher.ErrWorkerIndeterminate
	}
	return answer, nil
}

// Renew implements dotterelusher.RunClient. It waits for an end as long as it is told.
func (p *Pool) Renew(ctx context.Context, w dotterworker.Worker, n dotterrun.Renewal) (dotterrun.Listing, error) {
	const look = 5 * dotterclock.Millisecond
	end := p.clock.Now() + n.Wait
	for {
		l, err := p.list(w.ID, n)
		if err != nil || len(l.Ended) > 0 || l.Refused != dotterrun.NotRefused || p.clock.Now() >= end {
			return l, err
		}
		select {
		case <-ctx.Done():
			return dotterrun.Listing{}, dotterelusher.ErrWorkerIndeterminate
		case <-p.clock.After(look):
		}
	}
}

func (p *Pool) list(id string, n dotterrun.Renewal) (dotterrun.Listing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	if !ok || w.dark || w.crashed {
		return dotterrun.Listing{}, dotterelusher.ErrWorkerIndeterminate
	}
	return w.renew(n), nil
}

func (p *Pool) stepOf(id dotterjob.TaskID) (dotterjob.Step, bool) {
	j, ok := p.jobs[id.Job]
	if !ok || id.Step >= len(j.Steps) {
		return dotterjob.Step{}, false
	}
	return j.Steps[id.Step], true
}

// spanOf returns how long a task runs: what its step declares, a little more by index.
func (p *Pool) spanOf(id dotterjob.TaskID) dotterclock.Millis {
	s, _ := p.stepOf(id)
	return max(1, s.Estimate) + dotterclock.Millis(id.Index%7)
}

func (p *Pool) isFailing(id dotterjob.TaskID) bool {
	return p.failing[id.Job]
}

// reserved returns the room that runs on a worker take.
func (p *Pool) reserved(w *Worker) dotterroom.Room {
	var sum dotterroom.Room
	for _, r := range w.running {
		if s, ok := p.stepOf(r.Task); ok {
			sum = sum.Add(s.Reserved())
		}
	}
	return sum
}

// Violations returns the broken promises so far.
func (p *Pool) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.truth.faults)
}

// Starts returns how often tasks of the job were started.
func (p *Pool) Starts(id dotterjob.ID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.truth.starts[id]
}

func (p *Pool) fault(format string, values ...any) {
	p.truth.faults = append(p.truth.faults, fmt.Sprintf("at %d: ", p.clock.Now())+fmt.Sprintf(format, values...))
}
