package dottertruth

import (
	"fmt"
	"slices"
	"sort"
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// taskRecords records the attempts and the resource usage of the workers.
type taskRecords struct {
	clock      dotterelusher.Clock
	violations *violations

	mu      sync.Mutex
	workers map[string]*Worker
	runs    []*Run
	open    map[dottertask.ID]map[*Run]bool // runs that are neither ended nor suspended
}

func newTaskRecords(clock dotterelusher.Clock, violations *violations) *taskRecords {
	return &taskRecords{
		clock:      clock,
		violations: violations,
		workers:    map[string]*Worker{},
		open:       map[dottertask.ID]map[*Run]bool{},
	}
}

// AddWorker registers a worker.
func (t *taskRecords) AddWorker(h dotterhost.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.workers[h.Name] = &Worker{Name: h.Name, FailureDomain: h.FailureDomain, Capacity: h.Capacity}
}

// StartRun records that worker starts an attempt with a lease until the given
// time, and returns its record.
func (t *taskRecords) StartRun(worker string, start dotterattempt.Start, work, until dotterclock.Millis) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.workers[worker]
	run := &Run{
		Ref: start.Ref, Template: start.Template, Worker: worker, FailureDomain: w.FailureDomain,
		ResumeFrom: start.ResumeFrom, StartedAt: t.clock.Now(), Phase: dotterattempt.PhaseRunning, WorkMillis: work,
		leaseUntil: until,
	}
	t.runs = append(t.runs, run)
	w.Starts++
	w.Held = w.Held.Add(start.Size)
	w.MaxHeld = w.MaxHeld.Max(w.Held)
	if !w.Held.Fits(w.Capacity) {
		t.violations.add(ViolationRoom, worker, fmt.Sprintf("holds %v of %v", w.Held, w.Capacity))
	}
	t.addOpen(run)
	return run
}

// ExtendRun records that an attempt's lease is extended until the given time. A
// run whose lease has expired does not count as concurrent, even if its worker
// has not ended it yet.
func (t *taskRecords) ExtendRun(run *Run, until dotterclock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.leaseUntil = until
}

// SuspendRun records that an attempt is suspended because its worker is frozen.
func (t *taskRecords) SuspendRun(run *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.Suspended = true
	t.removeOpen(run)
}

// ResumeRun records that a suspended attempt resumes.
func (t *taskRecords) ResumeRun(run *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.Suspended = false
	t.addOpen(run)
}

// EndRun records the end of an attempt. It uses only the phase, run time and size
// of status.
func (t *taskRecords) EndRun(run *Run, status dotterattempt.Status, slowdown, latency float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.EndedAt = t.clock.Now()
	run.Phase = status.Phase
	run.RanMillis = status.RanMillis
	run.Slowdown = slowdown
	run.LatencyMillis = latency
	w := t.workers[run.Worker]
	w.Held = w.Held.Sub(status.Size)
	t.removeOpen(run)
}

// RecordUsage records a sample of a worker's actual resource usage.
func (t *taskRecords) RecordUsage(worker string, used dotterroom.Room) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.workers[worker]
	w.MaxUsed = w.MaxUsed.Max(used)
	if !used.Fits(w.Capacity) {
		w.OverUsed++
	}
}

// CountRefusal calls count to update the counters of refused commands of worker.
func (t *taskRecords) CountRefusal(worker string, count func(*Worker)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count(t.workers[worker])
}

func (t *taskRecords) copyTo(truth *Truth) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.workers {
		truth.Workers = append(truth.Workers, *w)
	}
	for _, run := range t.runs {
		truth.Runs = append(truth.Runs, *run)
	}
	sort.Slice(truth.Workers, func(i, j int) bool { return truth.Workers[i].Name < truth.Workers[j].Name })
}

func (t *taskRecords) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = slices.DeleteFunc(t.runs, func(run *Run) bool { return run.EndedAt != 0 })
	for _, w := range t.workers {
		*w = Worker{Name: w.Name, FailureDomain: w.FailureDomain, Capacity: w.Capacity, Held: w.Held, MaxHeld: w.Held}
	}
}

// addOpen adds run to the open runs and records a violation for each other open
// run of the same task whose lease has not expired. The caller holds mu.
func (t *taskRecords) addOpen(run *Run) {
	open := t.open[run.Task]
	if open == nil {
		open = map[*Run]bool{}
		t.open[run.Task] = open
	}
	now := t.clock.Now()
	for other := range open {
		if other.leaseUntil <= now {
			continue
		}
		detail := fmt.Sprintf("attempt %d on %s beside attempt %d on %s", run.Attempt, run.Worker, other.Attempt, other.Worker)
		t.violations.add(ViolationTwoAttempts, string(run.Task), detail)
	}
	open[run] = true
}

// removeOpen removes run from the open runs. The caller holds mu.
func (t *taskRecords) removeOpen(run *Run) {
	delete(t.open[run.Task], run)
	if len(t.open[run.Task]) == 0 {
		delete(t.open, run.Task)
	}
}
