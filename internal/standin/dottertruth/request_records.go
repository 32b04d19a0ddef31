package dottertruth

import (
	"fmt"
	"slices"
	"sort"
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// maxExecutions limits the executions that are recorded individually.
const maxExecutions = 2_000_000

// requestRecords records the requests and connections of the backend servers.
type requestRecords struct {
	clock      dotterelusher.Clock
	violations *violations

	mu         sync.Mutex
	backends   map[string]*Backend
	executions []*Execution
}

func newRequestRecords(clock dotterelusher.Clock, violations *violations) *requestRecords {
	return &requestRecords{clock: clock, violations: violations, backends: map[string]*Backend{}}
}

// AddBackend registers a backend server.
func (t *requestRecords) AddBackend(h dotterhost.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backends[h.Name] = &Backend{
		Name: h.Name, FailureDomain: h.FailureDomain, Service: h.Service,
		Slots: h.Slots, Connections: h.Connections,
	}
}

// StartRequest records that a backend server starts executing a request.
func (t *requestRecords) StartRequest(backend, request string) *Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[backend]
	now := t.clock.Now()
	b.Requests++
	b.Running++
	b.MaxRunning = max(b.MaxRunning, b.Running)
	b.LastStartAt = now
	if b.Running > b.Slots {
		b.OverSlots++
		t.violations.add(ViolationSlots, backend, fmt.Sprintf("%d requests in %d slots", b.Running, b.Slots))
	}
	execution := &Execution{Request: request, Backend: backend, StartedAt: now}
	if len(t.executions) < maxExecutions {
		t.executions = append(t.executions, execution)
	}
	return execution
}

// EndRequest records that a backend server has finished a request.
func (t *requestRecords) EndRequest(execution *Execution) {
	t.mu.Lock()
	defer t.mu.Unlock()
	execution.EndedAt = t.clock.Now()
	t.backends[execution.Backend].Running--
}

// RefuseRequest records that a backend server refused a request without executing it.
func (t *requestRecords) RefuseRequest(backend string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backends[backend].Refused++
}

// AddConnections adds delta to the number of a backend server's open connections.
func (t *requestRecords) AddConnections(backend string, delta int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[backend]
	b.Open += delta
	b.MaxOpen = max(b.MaxOpen, b.Open)
	if delta > 0 && b.Open > b.Connections {
		b.OverConnections++
		t.violations.add(ViolationConnections, backend, fmt.Sprintf("%d of %d connections", b.Open, b.Connections))
	}
}

// Executions returns the recorded executions of requests in start order.
func (t *requestRecords) Executions() []Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	executions := make([]Execution, 0, len(t.executions))
	for _, e := range t.executions {
		executions = append(executions, *e)
	}
	return executions
}

func (t *requestRecords) copyTo(truth *Truth) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.backends {
		truth.Backends = append(truth.Backends, *b)
	}
	sort.Slice(truth.Backends, func(i, j int) bool { return truth.Backends[i].Name < truth.Backends[j].Name })
}

func (t *requestRecords) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.executions = slices.DeleteFunc(t.executions, func(e *Execution) bool { return e.EndedAt != 0 })
	for _, b := range t.backends {
		*b = Backend{
			Name: b.Name, FailureDomain: b.FailureDomain, Service: b.Service, Slots: b.Slots, Connections: b.Connections,
			Running: b.Running, MaxRunning: b.Running, Open: b.Open, MaxOpen: b.Open,
		}
	}
}
