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

// killSteps covers every outward call of an owner from its claim to the last
// acknowledgement of a short run.
const killSteps = 45

func TestTakeoverAfterAFaultAtEveryStep(t *testing.T) {
	for step := 1; step <= killSteps; step++ {
		for name, f := range map[string]fault{
			"killed before": {at: step},
			"killed after":  {at: step, after: true},
			"frozen before": {at: step, freeze: true},
			"frozen after":  {at: step, after: true, freeze: true},
		} {
			t.Run(fmt.Sprintf("%s call %d", name, step), func(t *testing.T) {
				t.Parallel()
				takeOverAfter(t, f, func(*fakePool) {})
			})
			if step%pairSteps != 0 {
				continue
			}
			for other, strike := range secondFaults {
				t.Run(fmt.Sprintf("%s call %d and %s", name, step, other), func(t *testing.T) {
					t.Parallel()
					takeOverAfter(t, f, strike)
				})
			}
		}
	}
}

// pairSteps is the number of steps between two that are tried with a second fault.
const pairSteps = 9

// secondFaults come together with the first owner's.
var secondFaults = map[string]func(p *fakePool){
	"answers of the store lost":  func(p *fakePool) { p.store.LoseAnswers(6) },
	"answers of workers lost":    func(p *fakePool) { p.workers["d-w0"].lose, p.workers["d-w1"].lose = 3, 3 },
	"a worker that refuses":      func(p *fakePool) { p.workers["d-w0"].refuse = true },
	"a worker that is cut off":   func(p *fakePool) { p.workers["d-w1"].cut = true },
	"a worker that drains":       func(p *fakePool) { p.document.Revision++; p.document.Draining = []string{"d-w0"} },
	"a second epoch in between":  func(p *fakePool) { p.between = true },
	"a store that is down after": func(p *fakePool) { p.outage = 5 * dotterclock.Second },
}

// takeOverAfter runs tasks, strikes the first owner, and lets a second one finish.
func takeOverAfter(t *testing.T, f fault, second func(*fakePool)) {
	p := newPool(t, 2)
	first := newProcess(f)
	opened := p.tryOpen(p.options("a/1").within(p, first))
	p.pump(20*dotterclock.Second, func() bool { return len(opened) > 0 || first.hasStruck() && f.freeze })
	var a *Owner
	if len(opened) > 0 {
		a = <-opened
	}
	var ids []dottertask.ID
	if a != nil {
		p.owners = append(p.owners, a)
		ids = p.submitThrough(a, first)
		p.pump(20*dotterclock.Second, func() bool { return first.hasStruck() || p.allEnded(a, ids) })
		p.abandon(a, first)
	}
	p.set(func() { second(p) })
	p.strikeBetween()
	b := p.openSurely(p.options("b/1"))
	defer b.Stop()
	p.pass(2 * dotterclock.Second)
	p.heal()
	if f.freeze {
		first.thaw()
	}
	ids = append(ids, p.submit(b, task(true, 200))...)
	p.pump(120*dotterclock.Second, func() bool { return p.allKnownEnded(b, ids) })
	p.pass(2 * dotterclock.Second)
	p.checkTruth()
	p.checkStarts(b, ids)
	p.checkResumes(ids)
	p.checkCharges(b)
	if f.freeze && a == nil {
		a = <-opened
	}
	if a != nil {
		p.pump(20*dotterclock.Second, func() bool { return isDead(a) })
		require.ErrorIs(t, a.Err(), ErrDeposed)
	}
}

// strikeBetween does what a second fault does before the takeover.
func (p *fakePool) strikeBetween() {
	if p.between {
		middle := p.openSurely(p.options("m/1"))
		p.pass(dotterclock.Second)
		middle.tomb.Kill(ErrDeposed)
	}
	if p.outage > 0 {
		p.store.SetDown(true)
		p.pass(p.outage)
		p.store.SetDown(false)
	}
}

// heal ends a cut.
func (p *fakePool) heal() {
	if !p.workers["d-w1"].cut {
		return
	}
	p.pass(20 * dotterclock.Second)
	p.set(func() { p.workers["d-w1"].cut = false })
}

// openSurely opens an owner, again while its claim stays without answer.
func (p *fakePool) openSurely(options Options) *Owner {
	for range 10 {
		if o, err := Open(context.Background(), options); err == nil {
			p.owners = append(p.owners, o)
			return o
		}
	}
	return p.open(options)
}

// tryOpen opens an owner beside the test; a nil one could not be opened.
func (p *fakePool) tryOpen(options Options) chan *Owner {
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

// submitThrough submits a few tasks unless the process is struck first.
func (p *fakePool) submitThrough(o *Owner, process *process) []dottertask.ID {
	tasks := append(many(3, task(true, 600)), many(3, task(false, 300))...)
	results := make(chan []dottertask.Task, 1)
	go func() {
		named, _ := o.Submit(p.t.Context(), tasks)
		results <- named
	}()
	var named []dottertask.Task
	answered := false
	p.pump(20*dotterclock.Second, func() bool {
		select {
		case named = <-results:
			answered = true
		default:
		}
		return answered || process.hasStruck()
	})
	var ids []dottertask.ID
	for _, t := range named {
		ids = append(ids, t.ID)
	}
	return ids
}

func TestDrainIsTakenOverAtEveryStep(t *testing.T) {
	for step := 8; step <= killSteps; step++ {
		for name, f := range map[string]fault{"killed before": {at: step}, "killed after": {at: step, after: true}} {
			t.Run(fmt.Sprintf("%s call %d", name, step), func(t *testing.T) {
				t.Parallel()
				p := newPool(t, 2)
				first := newProcess(f)
				a := <-p.tryOpen(p.options("a/1").within(p, first))
				p.owners = append(p.owners, a)
				ids := p.submitThrough(a, first)
				p.pump(20*dotterclock.Second, func() bool { return first.hasStruck() || p.totalStarts() >= 4 })
				p.editDocument(func(d *dotterconfig.Document) { d.Draining = []string{"d-w0"} })
				p.pump(20*dotterclock.Second, func() bool { return first.hasStruck() || p.allEnded(a, ids) })
				p.abandon(a, first)
				b := p.open(p.options("b/1"))
				defer b.Stop()
				p.pump(120*dotterclock.Second, func() bool { return p.allKnownEnded(b, ids) })
				p.checkTruth()
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

// allKnownEnded reports whether every accepted task, and every other that the
// shard knows, has ended.
func (p *fakePool) allKnownEnded(o *Owner, ids []dottertask.ID) bool {
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

// checkStarts checks that unrepeatable tasks started at most once, and that
// what is said to be done was done once.
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

// checkResumes checks that work resumes once from each of its checkpoints.
func (p *fakePool) checkResumes(ids []dottertask.ID) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		seen := map[string]bool{}
		for _, from := range p.resumed[id] {
			require.False(p.t, from != "" && seen[from], "%s resumed twice from %s", id, from)
			seen[from] = true
		}
	}
}

// checkCharges checks that what is charged is what the workers ran.
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
