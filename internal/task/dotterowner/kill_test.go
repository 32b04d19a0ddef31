package dotterowner

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// faultCalls is the number of calls at which faults are injected. It covers every
// store and worker call of an owner from its claim to the last acknowledgement
// of a short run.
const faultCalls = 45

func TestTakeoverAfterAFaultAtEveryCall(t *testing.T) {
	for call := 1; call <= faultCalls; call++ {
		for name, f := range map[string]fault{
			"killed before": {call: call},
			"killed after":  {call: call, afterEffect: true},
			"frozen before": {call: call, freeze: true},
			"frozen after":  {call: call, afterEffect: true, freeze: true},
		} {
			t.Run(fmt.Sprintf("%s call %d", name, call), func(t *testing.T) {
				t.Parallel()
				testTakeover(t, f, func(*fakePool) {})
			})
			if call%secondFaultInterval != 0 {
				continue
			}
			for other, inject := range secondFaults {
				t.Run(fmt.Sprintf("%s call %d and %s", name, call, other), func(t *testing.T) {
					t.Parallel()
					testTakeover(t, f, inject)
				})
			}
		}
	}
}

// secondFaultInterval is the distance between calls that are also tested with a
// second fault.
const secondFaultInterval = 9

// secondFaults are injected after the fault of the first owner.
var secondFaults = map[string]func(p *fakePool){
	"answers of the store lost":  func(p *fakePool) { p.store.LoseAnswers(6) },
	"answers of workers lost":    func(p *fakePool) { p.workers["d-w0"].lostStartAnswers, p.workers["d-w1"].lostStartAnswers = 3, 3 },
	"a worker that refuses":      func(p *fakePool) { p.workers["d-w0"].refuseStarts = true },
	"a worker that is cut off":   func(p *fakePool) { p.workers["d-w1"].disconnected = true },
	"a worker that drains":       func(p *fakePool) { p.document.Revision++; p.document.Draining = []string{"d-w0"} },
	"a second epoch in between":  func(p *fakePool) { p.intermediateOwner = true },
	"a store that is down after": func(p *fakePool) { p.outageBeforeTakeover = 5 * dotterclock.Second },
}

// testTakeover runs tasks on an owner whose process fails with f, injects a second
// fault and has a second owner finish the tasks.
func testTakeover(t *testing.T, f fault, second func(*fakePool)) {
	p := newPool(t, 2)
	first := newProcess(f)
	opened := p.openAsync(p.options("a/1").viaProcess(p, first))
	p.advanceUntil(20*dotterclock.Second, func() bool { return len(opened) > 0 || first.faultTriggered() && f.freeze })
	var a *Owner
	if len(opened) > 0 {
		a = <-opened
	}
	var ids []dottertask.ID
	if a != nil {
		p.owners = append(p.owners, a)
		ids = p.submitUntilFault(a, first)
		p.advanceUntil(20*dotterclock.Second, func() bool { return first.faultTriggered() || p.allEnded(a, ids) })
		p.abandonOwner(a, first)
	}
	p.set(func() { second(p) })
	p.injectBeforeTakeover()
	b := p.openWithRetries(p.options("b/1"))
	defer b.Stop()
	p.advanceBy(2 * dotterclock.Second)
	p.reconnectWorkers()
	if f.freeze {
		first.resume()
	}
	ids = append(ids, p.submit(b, task(true, 200))...)
	p.advanceUntil(120*dotterclock.Second, func() bool { return p.allTasksEnded(b, ids) })
	p.advanceBy(2 * dotterclock.Second)
	p.checkInvariants()
	p.checkStarts(b, ids)
	p.checkResumes(ids)
	p.checkCharges(b)
	if f.freeze && a == nil {
		a = <-opened
	}
	if a != nil {
		p.advanceUntil(20*dotterclock.Second, func() bool { return isDead(a) })
		require.ErrorIs(t, a.Err(), ErrDeposed)
	}
}

// injectBeforeTakeover injects the second faults that precede the takeover.
func (p *fakePool) injectBeforeTakeover() {
	if p.intermediateOwner {
		middle := p.openWithRetries(p.options("m/1"))
		p.advanceBy(dotterclock.Second)
		middle.tomb.Kill(ErrDeposed)
	}
	if p.outageBeforeTakeover > 0 {
		p.store.SetDown(true)
		p.advanceBy(p.outageBeforeTakeover)
		p.store.SetDown(false)
	}
}

// reconnectWorkers reconnects the disconnected worker after 20 seconds.
func (p *fakePool) reconnectWorkers() {
	if !p.workers["d-w1"].disconnected {
		return
	}
	p.advanceBy(20 * dotterclock.Second)
	p.set(func() { p.workers["d-w1"].disconnected = false })
}

// openWithRetries opens an owner and retries if the answer to its claim is lost.
func (p *fakePool) openWithRetries(options Options) *Owner {
	for range 10 {
		if o, err := Open(context.Background(), options); err == nil {
			p.owners = append(p.owners, o)
			return o
		}
	}
	return p.open(options)
}

// openAsync opens an owner in a goroutine. It sends nil if Open fails.
func (p *fakePool) openAsync(options Options) chan *Owner {
	opened := make(chan *Owner, 1)
	go func() {
		o, err := Open(context.Background(), options)
		if err != nil {
			o = nil
		}
		opened <- o
	}()
	return opened
}

func isDead(o *Owner) bool {
	select {
	case <-o.Dead():
		return true
	default:
		return false
	}
}

// submitUntilFault submits a few tasks and returns their IDs, or none if the fault
// is injected before they are committed.
func (p *fakePool) submitUntilFault(o *Owner, process *process) []dottertask.ID {
	tasks := append(repeat(3, task(true, 600)), repeat(3, task(false, 300))...)
	results := make(chan []dottertask.Task, 1)
	go func() {
		accepted, _ := o.Submit(p.t.Context(), tasks)
		results <- accepted
	}()
	var accepted []dottertask.Task
	answered := false
	p.advanceUntil(20*dotterclock.Second, func() bool {
		select {
		case accepted = <-results:
			answered = true
		default:
		}
		return answered || process.faultTriggered()
	})
	var ids []dottertask.ID
	for _, t := range accepted {
		ids = append(ids, t.ID)
	}
	return ids
}

func TestTakeoverDuringADrainAtEveryCall(t *testing.T) {
	for call := 8; call <= faultCalls; call++ {
		for name, f := range map[string]fault{"killed before": {call: call}, "killed after": {call: call, afterEffect: true}} {
			t.Run(fmt.Sprintf("%s call %d", name, call), func(t *testing.T) {
				t.Parallel()
				p := newPool(t, 2)
				first := newProcess(f)
				a := <-p.openAsync(p.options("a/1").viaProcess(p, first))
				p.owners = append(p.owners, a)
				ids := p.submitUntilFault(a, first)
				p.advanceUntil(20*dotterclock.Second, func() bool { return first.faultTriggered() || p.totalStarts() >= 4 })
				p.editDocument(func(d *dotterconfig.Document) { d.Draining = []string{"d-w0"} })
				p.advanceUntil(20*dotterclock.Second, func() bool { return first.faultTriggered() || p.allEnded(a, ids) })
				p.abandonOwner(a, first)
				b := p.open(p.options("b/1"))
				defer b.Stop()
				p.advanceUntil(120*dotterclock.Second, func() bool { return p.allTasksEnded(b, ids) })
				p.checkInvariants()
				p.checkStarts(b, ids)
				p.checkResumes(ids)
				p.checkCharges(b)
			})
		}
	}
}

func (p *fakePool) allEnded(o *Owner, ids []dottertask.ID) bool {
	for _, id := range ids {
		t, _, err := o.Get(p.t.Context(), id)
		if err != nil || !t.State.Final() {
			return false
		}
	}
	return len(ids) > 0
}

// allTasksEnded reports whether the accepted tasks with the given ids, and all others
// of the shard, have ended.
func (p *fakePool) allTasksEnded(o *Owner, ids []dottertask.ID) bool {
	for _, id := range ids {
		t, _, err := o.Get(p.t.Context(), id)
		require.NoError(p.t, err, "accepted task %s is lost", id)
		if !t.State.Final() {
			return false
		}
	}
	status, err := o.Status(p.t.Context())
	return err == nil && status.Queued == 0 && status.Running == 0
}

// checkStarts checks that non-repeatable tasks started at most once and that tasks
// in the state Done were completed exactly once.
func (p *fakePool) checkStarts(o *Owner, ids []dottertask.ID) {
	p.t.Helper()
	for _, id := range ids {
		t, _, err := o.Get(p.t.Context(), id)
		require.NoError(p.t, err)
		p.mu.Lock()
		starts, finished := p.starts[id], p.finished[id]
		p.mu.Unlock()
		if !t.Repeatable {
			require.LessOrEqual(p.t, starts, 1, "%s is not repeatable", id)
		}
		if t.State == dottertask.StateDone {
			require.Equal(p.t, 1, finished, "%s", id)
		}
	}
}

// checkResumes checks that tasks resume at most once from each of their checkpoints.
func (p *fakePool) checkResumes(ids []dottertask.ID) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		seen := map[string]bool{}
		for _, from := range p.resumedFrom[id] {
			require.False(p.t, from != "" && seen[from], "%s resumed twice from %s", id, from)
			seen[from] = true
		}
	}
}

// checkCharges checks that the charged CPU time equals the time that attempts ran.
func (p *fakePool) checkCharges(o *Owner) {
	p.t.Helper()
	totals, err := o.Totals(p.t.Context())
	require.NoError(p.t, err)
	charged := int64(0)
	for _, total := range totals {
		charged += total.CoreMillis
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Equal(p.t, p.ranCoreMillis, charged)
}
