package dottertruth

import (
	"fmt"
	"maps"
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

// Bounds of what is recorded.
const (
	executionLimit = 2_000_000
	violationLimit = 1000
)

// Recorder collects the truth. Work on tasks, work on requests and store calls
// are each under their own lock.
type Recorder struct {
	clock dotterelusher.Clock

	violationsMu sync.Mutex
	violations   []Violation
	since        dotterclock.Millis

	tasksMu sync.Mutex
	workers map[string]*Worker
	runs    []*Run
	open    map[dottertask.ID]map[*Run]bool

	requestsMu sync.Mutex
	backends   map[string]*Backend
	executions []*Execution

	callsMu sync.Mutex
	calls   Calls
}

// NewRecorder returns a recorder that stamps what it records with clock.
func NewRecorder(clock dotterelusher.Clock) *Recorder {
	return &Recorder{
		clock:    clock,
		since:    clock.Now(),
		workers:  map[string]*Worker{},
		open:     map[dottertask.ID]map[*Run]bool{},
		backends: map[string]*Backend{},
		calls:    newCalls(),
	}
}

// AddWorker makes the recorder know a worker.
func (r *Recorder) AddWorker(h dotterhost.Host) {
	r.tasksMu.Lock()
	defer r.tasksMu.Unlock()
	r.workers[h.Name] = &Worker{Name: h.Name, FailureDomain: h.FailureDomain, Capacity: h.Capacity}
}

// AddBackend makes the recorder know a backend server.
func (r *Recorder) AddBackend(h dotterhost.Host) {
	r.requestsMu.Lock()
	defer r.requestsMu.Unlock()
	r.backends[h.Name] = &Backend{
		Name: h.Name, FailureDomain: h.FailureDomain, Service: h.Service,
		Slots: h.Slots, Connections: h.Connections,
	}
}

// StartRun records that worker starts an attempt whose lease holds until the
// instant, and returns its record.
func (r *Recorder) StartRun(worker string, start dotterattempt.Start, work, until dotterclock.Millis) *Run {
	r.tasksMu.Lock()
	defer r.tasksMu.Unlock()
	w := r.workers[worker]
	run := &Run{
		Ref: start.Ref, Template: start.Template, Worker: worker, FailureDomain: w.FailureDomain,
		ResumeFrom: start.ResumeFrom, StartedAt: r.clock.Now(), Phase: dotterattempt.PhaseRunning, WorkMillis: work,
		leaseUntil: until,
	}
	r.runs = append(r.runs, run)
	w.Starts++
	w.Held = w.Held.Add(start.Size)
	w.MaxHeld = w.MaxHeld.Max(w.Held)
	if !w.Held.Fits(w.Capacity) {
		r.violate(ViolationRoom, worker, fmt.Sprintf("holds %v of %v", w.Held, w.Capacity))
	}
	r.enter(run)
	return run
}

// ExtendRun records that an attempt's lease holds until the instant. A run
// whose lease is over counts as ended also before its worker gets to end it.
func (r *Recorder) ExtendRun(run *Run, until dotterclock.Millis) {
	r.tasksMu.Lock()
	defer r.tasksMu.Unlock()
	run.leaseUntil = until
}

// SuspendRun records that an attempt does nothing because its worker is frozen.
func (r *Recorder) SuspendRun(run *Run) {
	r.tasksMu.Lock()
	defer r.tasksMu.Unlock()
	run.Suspended = true
	r.leave(run)
}

// ResumeRun records that a suspended attempt goes on.
func (r *Recorder) ResumeRun(run *Run) {
	r.tasksMu.Lock()
	defer r.tasksMu.Unlock()
	run.Suspended = false
	r.enter(run)
}

// EndRun records how an attempt of the given size ended. Only the fields of
// status that describe the end are used.
func (r *Recorder) EndRun(run *Run, status dotterattempt.Status, slowdown, latency float64) {
	r.tasksMu.Lock()
	defer r.tasksMu.Unlock()
	run.EndedAt = r.clock.Now()
	run.Phase = status.Phase
	run.RanMillis = status.RanMillis
	run.Slowdown = slowdown
	run.LatencyMillis = latency
	w := r.workers[run.Worker]
	w.Held = w.Held.Sub(status.Size)
	r.leave(run)
}

// Used records a sample of a worker's true use.
func (r *Recorder) Used(worker string, used dotterroom.Room) {
	r.tasksMu.Lock()
	defer r.tasksMu.Unlock()
	w := r.workers[worker]
	w.MaxUsed = w.MaxUsed.Max(used)
	if !used.Fits(w.Capacity) {
		w.OverUsed++
	}
}

// Refused lets count raise the counts of refused commands of worker.
func (r *Recorder) Refused(worker string, count func(*Worker)) {
	r.tasksMu.Lock()
	defer r.tasksMu.Unlock()
	count(r.workers[worker])
}

// StartRequest records that a backend server begins to execute a request.
func (r *Recorder) StartRequest(backend, request string) *Execution {
	r.requestsMu.Lock()
	defer r.requestsMu.Unlock()
	b := r.backends[backend]
	now := r.clock.Now()
	b.Requests++
	b.Running++
	b.MaxRunning = max(b.MaxRunning, b.Running)
	b.LastStartAt = now
	if b.Running > b.Slots {
		b.OverSlots++
		r.violate(ViolationSlots, backend, fmt.Sprintf("%d requests in %d slots", b.Running, b.Slots))
	}
	execution := &Execution{Request: request, Backend: backend, StartedAt: now}
	if len(r.executions) < executionLimit {
		r.executions = append(r.executions, execution)
	}
	return execution
}

// EndRequest records that a backend server is done with a request.
func (r *Recorder) EndRequest(execution *Execution) {
	r.requestsMu.Lock()
	defer r.requestsMu.Unlock()
	execution.EndedAt = r.clock.Now()
	r.backends[execution.Backend].Running--
}

// RefuseRequest records that a backend server refused a request without running it.
func (r *Recorder) RefuseRequest(backend string) {
	r.requestsMu.Lock()
	defer r.requestsMu.Unlock()
	r.backends[backend].Refused++
}

// Connections records that the number of a backend server's open connections changed by delta.
func (r *Recorder) Connections(backend string, delta int) {
	r.requestsMu.Lock()
	defer r.requestsMu.Unlock()
	b := r.backends[backend]
	b.Open += delta
	b.MaxOpen = max(b.MaxOpen, b.Open)
	if delta > 0 && b.Open > b.Connections {
		b.OverConnections++
		r.violate(ViolationConnections, backend, fmt.Sprintf("%d of %d connections", b.Open, b.Connections))
	}
}

// Call records one call of the store.
func (r *Recorder) Call(client, kind string, in, out int64) {
	r.callsMu.Lock()
	defer r.callsMu.Unlock()
	r.calls.ByKind[kind]++
	if r.calls.ByClient[client] == nil {
		r.calls.ByClient[client] = map[string]int{}
	}
	r.calls.ByClient[client][kind]++
	r.calls.BytesIn += in
	r.calls.BytesOut += out
}

// Truth returns all that was recorded but for the executions.
func (r *Recorder) Truth() Truth {
	truth := Truth{Now: r.clock.Now()}
	r.copyTasks(&truth)
	r.copyBackends(&truth)
	r.copyCalls(&truth)
	r.violationsMu.Lock()
	defer r.violationsMu.Unlock()
	truth.Since = r.since
	truth.Violations = slices.Clone(r.violations)
	return truth
}

// Executions returns every execution of a request, in order of their starts.
func (r *Recorder) Executions() []Execution {
	r.requestsMu.Lock()
	defer r.requestsMu.Unlock()
	executions := make([]Execution, 0, len(r.executions))
	for _, e := range r.executions {
		executions = append(executions, *e)
	}
	return executions
}

// Reset forgets what has ended, and every count and highest value.
func (r *Recorder) Reset() {
	r.resetTasks()
	r.resetBackends()
	r.callsMu.Lock()
	r.calls = newCalls()
	r.callsMu.Unlock()
	r.violationsMu.Lock()
	defer r.violationsMu.Unlock()
	r.violations = nil
	r.since = r.clock.Now()
}

// enter notices a second open run of the same task. The caller holds tasksMu.
func (r *Recorder) enter(run *Run) {
	open := r.open[run.Task]
	if open == nil {
		open = map[*Run]bool{}
		r.open[run.Task] = open
	}
	now := r.clock.Now()
	for other := range open {
		if other.leaseUntil <= now {
			continue
		}
		detail := fmt.Sprintf("attempt %d on %s beside attempt %d on %s", run.Attempt, run.Worker, other.Attempt, other.Worker)
		r.violate(ViolationTwoAttempts, string(run.Task), detail)
	}
	open[run] = true
}

// leave takes run from the open ones. The caller holds tasksMu.
func (r *Recorder) leave(run *Run) {
	delete(r.open[run.Task], run)
	if len(r.open[run.Task]) == 0 {
		delete(r.open, run.Task)
	}
}

func (r *Recorder) violate(kind ViolationKind, subject, detail string) {
	r.violationsMu.Lock()
	defer r.violationsMu.Unlock()
	if len(r.violations) < violationLimit {
		r.violations = append(r.violations, Violation{At: r.clock.Now(), Kind: kind, Subject: subject, Detail: detail})
	}
}

func (r *Recorder) copyTasks(truth *Truth) {
	r.tasksMu.Lock()
	defer r.tasksMu.Unlock()
	for _, w := range r.workers {
		truth.Workers = append(truth.Workers, *w)
	}
	for _, run := range r.runs {
		truth.Runs = append(truth.Runs, *run)
	}
	sort.Slice(truth.Workers, func(i, j int) bool { return truth.Workers[i].Name < truth.Workers[j].Name })
}

func (r *Recorder) copyBackends(truth *Truth) {
	r.requestsMu.Lock()
	defer r.requestsMu.Unlock()
	for _, b := range r.backends {
		truth.Backends = append(truth.Backends, *b)
	}
	sort.Slice(truth.Backends, func(i, j int) bool { return truth.Backends[i].Name < truth.Backends[j].Name })
}

func (r *Recorder) copyCalls(truth *Truth) {
	r.callsMu.Lock()
	defer r.callsMu.Unlock()
	truth.Store = r.calls
	truth.Store.ByKind = maps.Clone(r.calls.ByKind)
	truth.Store.ByClient = map[string]map[string]int{}
	for c, kinds := range r.calls.ByClient {
		truth.Store.ByClient[c] = maps.Clone(kinds)
	}
}

func (r *Recorder) resetTasks() {
	r.tasksMu.Lock()
	defer r.tasksMu.Unlock()
	r.runs = slices.DeleteFunc(r.runs, func(run *Run) bool { return run.EndedAt != 0 })
	for _, w := range r.workers {
		*w = Worker{Name: w.Name, FailureDomain: w.FailureDomain, Capacity: w.Capacity, Held: w.Held, MaxHeld: w.Held}
	}
}

func (r *Recorder) resetBackends() {
	r.requestsMu.Lock()
	defer r.requestsMu.Unlock()
	r.executions = slices.DeleteFunc(r.executions, func(e *Execution) bool { return e.EndedAt != 0 })
	for _, b := range r.backends {
		*b = Backend{
			Name: b.Name, FailureDomain: b.FailureDomain, Service: b.Service, Slots: b.Slots, Connections: b.Connections,
			Running: b.Running, MaxRunning: b.Running, Open: b.Open, MaxOpen: b.Open,
		}
	}
}
