package dotterowner

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

const longRunMillis = 3600 * dotterclock.Second

// startsOf returns the number of starts of the task on the fake workers.
func (p *fakePool) startsOf(id dottertask.ID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts[id]
}

func TestWorkerFaults(t *testing.T) {
	tests := map[string]struct {
		repeatable bool
		run        dotterclock.Millis
		inject     func(p *fakePool)
		state      dottertask.State
		starts     int
	}{
		"cut off, repeatable runs again":   {true, 20_000, func(p *fakePool) { p.workers["d-w0"].disconnected = true }, dottertask.StateDone, 2},
		"cut off, unrepeatable is unknown": {false, longRunMillis, func(p *fakePool) { p.workers["d-w0"].disconnected = true }, dottertask.StateOutcomeUnknown, 1},
		"start's answer lost":              {false, 1_000, func(*fakePool) {}, dottertask.StateDone, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPool(t, 1)
			if name == "start's answer lost" {
				p.workers["d-w0"].lostStartAnswers = 1
			}
			o := p.open(p.options("a/1"))
			defer o.Stop()
			id := p.submit(o, task(tc.repeatable, tc.run))[0]
			p.advanceUntil(20*dotterclock.Second, func() bool { return p.startsOf(id) == 1 })
			p.set(func() { p.addWorker("d", 1); tc.inject(p) })
			p.untilState(o, id, tc.state, 200*dotterclock.Second)
			require.Equal(t, tc.starts, p.startsOf(id))
			p.checkInvariants()
		})
	}
}

func TestRestartedWorkerLosesItsAttempts(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	o := p.open(p.options("a/1"))
	defer o.Stop()
	ids := p.submit(o, task(true, 10_000), task(false, longRunMillis))
	p.advanceUntil(20*dotterclock.Second, func() bool { return p.startsOf(ids[0]) == 1 && p.startsOf(ids[1]) == 1 })
	p.restart("d-w0")
	p.untilState(o, ids[1], dottertask.StateOutcomeUnknown, 60*dotterclock.Second)
	p.untilState(o, ids[0], dottertask.StateDone, 60*dotterclock.Second)
	require.Equal(t, 2, p.startsOf(ids[0]))
	require.Equal(t, 1, p.startsOf(ids[1]))
	p.checkInvariants()
}

func TestLateStartIsRefused(t *testing.T) {
	t.Parallel()
	p := newPool(t, 2)
	p.delayStarts = true
	o := p.open(p.options("a/1"))
	defer o.Stop()
	id := p.submit(o, task(false, 1_000))[0]
	p.advanceUntil(20*dotterclock.Second, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(p.delayedStarts) == 1 })
	p.set(func() { p.delayStarts = false })
	p.untilState(o, id, dottertask.StateDone, 60*dotterclock.Second)
	p.set(func() {
		for _, start := range p.delayedStarts {
			for address := range p.workers {
				_, _ = p.start(address, start)
			}
		}
	})
	p.advanceBy(2 * dotterclock.Second)
	require.Equal(t, 1, p.startsOf(id))
	p.checkInvariants()
}

func TestStartRefusedAsLateIsSentAgain(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	p.clockJump = 60 * dotterclock.Second // the worker's clock jumps ahead between two replies
	o := p.open(p.options("a/1"))
	defer o.Stop()
	id := p.submit(o, task(false, 500))[0]
	p.untilState(o, id, dottertask.StateDone, 60*dotterclock.Second)
	task, _, err := o.Get(context.Background(), id)
	require.NoError(t, err)
	require.Equal(t, 1, task.Attempt, "the late start must not count as an attempt")
	require.Equal(t, 1, p.startsOf(id))
}

func TestTakeoverKeepsUnreachableWorkersBound(t *testing.T) {
	t.Parallel()
	p := newPool(t, 2)
	a := p.open(p.options("a/1"))
	ids := p.submit(a, task(true, longRunMillis), task(false, longRunMillis))
	p.advanceUntil(20*dotterclock.Second, func() bool { return p.startsOf(ids[0]) == 1 && p.startsOf(ids[1]) == 1 })
	// The second owner can't reach the worker and so can't know when the leases that
	// the first owner granted expire.
	p.set(func() { p.workers["d-w0"].disconnected = true })
	b := p.open(p.options("b/1"))
	defer b.Stop()
	p.advanceBy(120 * dotterclock.Second)
	require.Equal(t, 1, p.startsOf(ids[0]), "the attempt must stay bound to the unreachable worker")
	require.Equal(t, dottertask.StateAssigned, p.state(b, ids[0]))
	require.Equal(t, dottertask.StateAssigned, p.state(b, ids[1]))
	p.unlist("d-w0")
	p.kill("d-w0")
	p.advanceUntil(120*dotterclock.Second, func() bool { return p.startsOf(ids[0]) == 2 })
	p.untilState(b, ids[1], dottertask.StateOutcomeUnknown, 120*dotterclock.Second)
	require.Equal(t, 1, p.startsOf(ids[1]))
	p.checkInvariants()
	a.Stop()
}

func TestStoreOutage(t *testing.T) {
	t.Parallel()
	p := newPool(t, 2)
	o := p.open(p.options("a/1"))
	defer o.Stop()
	ids := p.submit(o, repeat(40, task(true, 5_000))...)
	p.advanceUntil(30*dotterclock.Second, func() bool { return p.startsOf(ids[0]) == 1 })
	p.advanceBy(2 * dotterclock.Second)
	p.store.SetDown(true)
	before := p.totalStarts()
	p.advanceBy(10 * dotterclock.Second)
	_, err := p.trySubmit(o, task(true, 100))
	require.ErrorIs(t, err, ErrRefused)
	p.advanceBy(10 * dotterclock.Second)
	require.GreaterOrEqual(t, p.totalStarts()-before, 8, "preassigned attempts must start")
	p.store.SetDown(false)
	p.advanceUntil(300*dotterclock.Second, func() bool { return p.allEnded(o, ids) })
	for _, id := range ids {
		require.Equal(t, dottertask.StateDone, p.state(o, id))
		require.Equal(t, 1, p.startsOf(id))
	}
	p.checkInvariants()
	p.checkCharges(o)
}

func (p *fakePool) totalStarts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	for _, n := range p.starts {
		sum += n
	}
	return sum
}

func TestLostStoreAnswers(t *testing.T) {
	t.Parallel()
	p := newPool(t, 2)
	o := p.open(p.options("a/1"))
	defer o.Stop()
	var ids []dottertask.ID
	for range 10 {
		p.store.LoseAnswers(2)
		ids = append(ids, p.submit(o, task(false, 300))...)
	}
	p.advanceUntil(120*dotterclock.Second, func() bool { p.store.LoseAnswers(1); return p.allEnded(o, ids) })
	for _, id := range ids {
		require.Equal(t, dottertask.StateDone, p.state(o, id))
	}
	p.checkInvariants()
	p.checkCharges(o)
}

func TestStartsNeedPermission(t *testing.T) {
	tests := map[string]struct {
		permission dotterelusher.StartPermission
		rule       dotterconfig.Rule
		starts     int
	}{
		"refused":                         {dotterelusher.StartPermission{Reason: "stale"}, dotterconfig.RuleAllow, 0},
		"overridable, template refuses":   {dotterelusher.StartPermission{Overridable: true}, dotterconfig.RuleRefuse, 0},
		"overridable, template allows it": {dotterelusher.StartPermission{Overridable: true}, dotterconfig.RuleAllow, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(t, 1)
			p.allowed = tc.permission
			p.document.Templates = []dotterconfig.Template{{Name: "t", Kind: dotterconfig.KindTask, CutOffStarts: tc.rule}}
			o := p.open(p.options("a/1"))
			defer o.Stop()
			id := p.submit(o, task(true, longRunMillis))[0]
			p.advanceBy(10 * dotterclock.Second)
			require.Equal(t, tc.starts, p.startsOf(id))
		})
	}
}

func TestTaskOnDrainedWorkerResumesFromItsCheckpoint(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	o := p.open(p.options("a/1"))
	defer o.Stop()
	ids := p.submit(o, task(true, longRunMillis), task(false, longRunMillis))
	p.advanceUntil(20*dotterclock.Second, func() bool { return p.startsOf(ids[0]) == 1 && p.startsOf(ids[1]) == 1 })
	p.set(func() { p.addWorker("d", 1) })
	p.editDocument(func(d *dotterconfig.Document) { d.Draining = []string{"d-w0"} })
	p.advanceUntil(60*dotterclock.Second, func() bool { return p.startsOf(ids[0]) == 2 })
	p.advanceBy(20 * dotterclock.Second)
	require.Equal(t, []string{"", "after-1"}, p.resumedFrom[ids[0]])
	require.Equal(t, 1, p.startsOf(ids[1]), "a non-repeatable task finishes on its worker")
	require.Equal(t, dottertask.StateRunning, p.state(o, ids[1]))
	p.checkInvariants()
}

// overfillingPlacer assigns every task to the first worker, regardless of capacity.
type overfillingPlacer struct{ dotterelusher.Placer }

// Plan assigns the whole queue to the first worker.
func (g overfillingPlacer) Plan(state dotterplan.State) dotterplan.Plan {
	var plan dotterplan.Plan
	for _, t := range state.Queue {
		plan.Assignments = append(plan.Assignments, dotterplan.Assignment{Task: t.ID, Worker: state.Workers[0].Host.Name})
	}
	return plan
}

func TestPlacerCannotOverfillAWorker(t *testing.T) {
	t.Parallel()
	p := newPool(t, 2)
	options := p.options("a/1")
	options.Placer = overfillingPlacer{options.Placer}
	o := p.open(options)
	defer o.Stop()
	p.submit(o, repeat(30, task(true, 2_000))...)
	p.advanceBy(30 * dotterclock.Second)
	require.GreaterOrEqual(t, p.totalStarts(), 4)
	p.checkInvariants()
}

func TestMeasuredUsageReducesFreeCapacity(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	o := p.open(p.options("a/1"))
	defer o.Stop()
	id := p.submit(o, task(true, longRunMillis))[0]
	p.untilState(o, id, dottertask.StateRunning, 20*dotterclock.Second)
	require.NoError(t, o.runOnLoop(context.Background(), func() {
		o.observe(o.workers["d-w0"], dotterattempt.Report{Usage: []dotterattempt.Usage{{
			Ref: o.ref(o.attempts[id]), Used: dotterroom.Room{MilliCores: 3500, MemoryMB: 100},
		}}}, p.clock.Now())
	}))
	next := p.submit(o, task(true, longRunMillis))[0]
	p.advanceBy(20 * dotterclock.Second)
	require.Equal(t, 0, p.startsOf(next))
}

func TestIdempotencyKeyGivesOneTask(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	o := p.open(p.options("a/1"))
	keyed := task(true, 500)
	keyed.Key = "k"
	first := p.submit(o, keyed)
	require.Equal(t, first, p.submit(o, keyed))
	o.Stop()
	b := p.open(p.options("b/1"))
	defer b.Stop()
	require.Equal(t, first, p.submit(b, keyed))
	other := keyed
	other.Team = "other"
	require.NotEqual(t, first, p.submit(b, other))
}

func TestTaskFailsAfterItsLastAttempt(t *testing.T) {
	tests := map[string]struct {
		repeatable bool
		starts     int
	}{"repeatable": {true, 3}, "unrepeatable": {false, 1}}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(t, 1)
			p.workers["d-w0"].failAttempts = true
			o := p.open(p.options("a/1"))
			defer o.Stop()
			id := p.submit(o, task(tc.repeatable, 100))[0]
			p.untilState(o, id, dottertask.StateFailed, 60*dotterclock.Second)
			require.Equal(t, tc.starts, p.startsOf(id))
		})
	}
}

func TestBulkCancellationTakesFewWrites(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	o := p.open(p.options("a/1"))
	defer o.Stop()
	var ids []dottertask.ID
	for range 10 {
		ids = append(ids, p.submit(o, repeat(1000, task(true, longRunMillis))...)...)
	}
	p.advanceBy(3 * dotterclock.Second)
	writes := segmentsWritten(t, o)
	cancelled := make(chan int, 1)
	go func() {
		result, err := o.Cancel(context.Background(), ids)
		assert.NoError(t, err)
		cancelled <- result.Count
	}()
	count := 0
	p.advanceUntil(10*dotterclock.Second, func() bool {
		select {
		case count = <-cancelled:
		default:
		}
		return count > 0
	})
	require.Equal(t, len(ids), count)
	p.advanceUntil(60*dotterclock.Second, func() bool {
		status, err := o.Status(context.Background())
		return err == nil && status.Queued == 0 && status.Running == 0
	})
	require.LessOrEqual(t, segmentsWritten(t, o)-writes, int64(8))
	p.checkInvariants()
}

func segmentsWritten(t *testing.T, o *Owner) int64 {
	newest := int64(0)
	require.NoError(t, o.runOnLoop(context.Background(), func() { newest = o.log.Newest() }))
	return newest
}

func TestUnlistedWorkerThatAnswersKeepsItsAttempts(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	o := p.open(p.options("a/1"))
	defer o.Stop()
	id := p.submit(o, task(true, 60_000))[0]
	p.untilState(o, id, dottertask.StateRunning, 20*dotterclock.Second)
	p.unlist("d-w0")
	p.untilState(o, id, dottertask.StateDone, 120*dotterclock.Second)
	require.Equal(t, 1, p.startsOf(id))
}

func TestLeavingWorkerGetsNothingNew(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	p.hosts[0] = p.hosts[0].WithState(dotterhost.StateLeaving)
	o := p.open(p.options("a/1"))
	defer o.Stop()
	id := p.submit(o, task(true, 100))[0]
	p.advanceBy(10 * dotterclock.Second)
	require.Equal(t, 0, p.startsOf(id))
}

func TestLongLogIsShortened(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	options := p.options("a/1")
	options.Limits.MaxLogBytes = 60_000
	o := p.open(options)
	defer o.Stop()
	p.set(func() { p.allowed.Allowed = false })
	large := task(true, 100)
	large.Payload = strings.Repeat("x", 10_000)
	var ids []dottertask.ID
	var err error
	for err == nil {
		var accepted []dottertask.Task
		accepted, err = p.trySubmit(o, large)
		for _, n := range accepted {
			ids = append(ids, n.ID)
		}
	}
	require.ErrorIs(t, err, ErrRefused)
	p.set(func() { p.allowed.Allowed = true })
	p.advanceUntil(60*dotterclock.Second, func() bool { return p.allEnded(o, ids) })
	p.advanceUntil(60*dotterclock.Second, func() bool {
		_, err := p.trySubmit(o, task(true, 100))
		return err == nil
	})
}

// TestPanicEndsItsOwnerOnly guards against a process that one shard takes down: the owner
// ends, its calls are answered, and the next one completes the tasks.
func TestPanicEndsItsOwnerOnly(t *testing.T) {
	t.Parallel()
	p := newPool(t, 2)
	o := p.open(p.options("a/1"))
	ids := p.submit(o, repeat(4, task(true, 5_000))...)
	p.advanceUntil(30*dotterclock.Second, func() bool { return p.startsOf(ids[0]) == 1 })
	o.mailbox <- func() { panic("unexpected") }
	<-o.Dead()
	require.ErrorContains(t, o.Err(), "unexpected")
	_, err := o.Submit(t.Context(), []dottertask.Task{task(true, 100)})
	require.ErrorIs(t, err, ErrRefused)

	p.owners = nil
	next := p.open(p.options("a/2"))
	defer next.Stop()
	p.advanceUntil(300*dotterclock.Second, func() bool { return p.allEnded(next, ids) })
	p.checkInvariants()
	for _, id := range ids {
		require.Equal(t, 1, p.starts[id])
	}
}
