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

const longRun = 3600 * dotterclock.Second

// startsOf returns how often the task was started, by the workers' account.
func (p *fakePool) startsOf(id dottertask.ID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts[id]
}

func TestWorkerFaults(t *testing.T) {
	tests := map[string]struct {
		repeatable bool
		run        dotterclock.Millis
		strike     func(p *fakePool)
		state      dottertask.State
		starts     int
	}{
		"cut off, repeatable runs again":   {true, 20_000, func(p *fakePool) { p.workers["d-w0"].cut = true }, dottertask.StateDone, 2},
		"cut off, unrepeatable is unknown": {false, longRun, func(p *fakePool) { p.workers["d-w0"].cut = true }, dottertask.StateOutcomeUnknown, 1},
		"start's answer lost":              {false, 1_000, func(*fakePool) {}, dottertask.StateDone, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPool(t, 1)
			if name == "start's answer lost" {
				p.workers["d-w0"].lose = 1
			}
			o := p.open(p.options("a/1"))
			defer o.Stop()
			id := p.submit(o, task(tc.repeatable, tc.run))[0]
			p.pump(20*dotterclock.Second, func() bool { return p.startsOf(id) == 1 })
			p.set(func() { p.addWorker("d", 1); tc.strike(p) })
			p.untilState(o, id, tc.state, 200*dotterclock.Second)
			require.Equal(t, tc.starts, p.startsOf(id))
			p.checkTruth()
		})
	}
}

func TestRestartedWorkerLosesItsAttempts(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	o := p.open(p.options("a/1"))
	defer o.Stop()
	ids := p.submit(o, task(true, 10_000), task(false, longRun))
	p.pump(20*dotterclock.Second, func() bool { return p.startsOf(ids[0]) == 1 && p.startsOf(ids[1]) == 1 })
	p.restart("d-w0")
	p.untilState(o, ids[1], dottertask.StateOutcomeUnknown, 60*dotterclock.Second)
	p.untilState(o, ids[0], dottertask.StateDone, 60*dotterclock.Second)
	require.Equal(t, 2, p.startsOf(ids[0]))
	require.Equal(t, 1, p.startsOf(ids[1]))
	p.checkTruth()
}

func TestLateStartIsRefused(t *testing.T) {
	t.Parallel()
	p := newPool(t, 2)
	p.hold = true
	o := p.open(p.options("a/1"))
	defer o.Stop()
	id := p.submit(o, task(false, 1_000))[0]
	p.pump(20*dotterclock.Second, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(p.late) == 1 })
	p.set(func() { p.hold = false })
	p.untilState(o, id, dottertask.StateDone, 60*dotterclock.Second)
	p.set(func() {
		for _, start := range p.late {
			for address := range p.workers {
				_, _ = p.start(address, start)
			}
		}
	})
	p.pass(2 * dotterclock.Second)
	require.Equal(t, 1, p.startsOf(id))
	p.checkTruth()
}

func TestStartThatComesTooLateIsSentAgain(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	p.ahead = 60 * dotterclock.Second // the worker's clock leaps ahead between two answers
	o := p.open(p.options("a/1"))
	defer o.Stop()
	id := p.submit(o, task(false, 500))[0]
	p.untilState(o, id, dottertask.StateDone, 60*dotterclock.Second)
	task, _, err := o.Get(context.Background(), id)
	require.NoError(t, err)
	require.Equal(t, 1, task.Attempt, "the worker is not blamed")
	require.Equal(t, 1, p.startsOf(id))
}

func TestTakeoverKeepsUnreachableWorkersBound(t *testing.T) {
	t.Parallel()
	p := newPool(t, 2)
	a := p.open(p.options("a/1"))
	ids := p.submit(a, task(true, longRun), task(false, longRun))
	p.pump(20*dotterclock.Second, func() bool { return p.startsOf(ids[0]) == 1 && p.startsOf(ids[1]) == 1 })
	// The first owner still reaches the worker and renews; the second doesn't.
	p.set(func() { p.workers["d-w0"].cut = true })
	b := p.open(p.options("b/1"))
	defer b.Stop()
	p.pass(120 * dotterclock.Second)
	require.Equal(t, 1, p.startsOf(ids[0]), "the attempt stays bound to the worker that can't be asked")
	require.Equal(t, dottertask.StateAssigned, p.state(b, ids[0]))
	require.Equal(t, dottertask.StateAssigned, p.state(b, ids[1]))
	p.unlist("d-w0")
	p.kill("d-w0")
	p.pump(120*dotterclock.Second, func() bool { return p.startsOf(ids[0]) == 2 })
	p.untilState(b, ids[1], dottertask.StateOutcomeUnknown, 120*dotterclock.Second)
	require.Equal(t, 1, p.startsOf(ids[1]))
	p.checkTruth()
	a.Stop()
}

func TestStoreOutage(t *testing.T) {
	t.Parallel()
	p := newPool(t, 2)
	o := p.open(p.options("a/1"))
	defer o.Stop()
	ids := p.submit(o, many(40, task(true, 5_000))...)
	p.pump(30*dotterclock.Second, func() bool { return p.startsOf(ids[0]) == 1 })
	p.pass(2 * dotterclock.Second)
	p.store.SetDown(true)
	before := p.totalStarts()
	p.pass(10 * dotterclock.Second)
	_, err := p.trySubmit(o, task(true, 100))
	require.ErrorIs(t, err, ErrRefused)
	p.pass(10 * dotterclock.Second)
	require.GreaterOrEqual(t, p.totalStarts()-before, 8, "starts go on from the reserve")
	p.store.SetDown(false)
	p.pump(300*dotterclock.Second, func() bool { return p.allEnded(o, ids) })
	for _, id := range ids {
		require.Equal(t, dottertask.StateDone, p.state(o, id))
		require.Equal(t, 1, p.startsOf(id))
	}
	p.checkTruth()
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
	p.pump(120*dotterclock.Second, func() bool { p.store.LoseAnswers(1); return p.allEnded(o, ids) })
	for _, id := range ids {
		require.Equal(t, dottertask.StateDone, p.state(o, id))
	}
	p.checkTruth()
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
			id := p.submit(o, task(true, longRun))[0]
			p.pass(10 * dotterclock.Second)
			require.Equal(t, tc.starts, p.startsOf(id))
		})
	}
}

func TestDrainedWorkerIsLeftFromItsCheckpoint(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	o := p.open(p.options("a/1"))
	defer o.Stop()
	ids := p.submit(o, task(true, longRun), task(false, longRun))
	p.pump(20*dotterclock.Second, func() bool { return p.startsOf(ids[0]) == 1 && p.startsOf(ids[1]) == 1 })
	p.set(func() { p.addWorker("d", 1) })
	p.editDocument(func(d *dotterconfig.Document) { d.Draining = []string{"d-w0"} })
	p.pump(60*dotterclock.Second, func() bool { return p.startsOf(ids[0]) == 2 })
	p.pass(20 * dotterclock.Second)
	require.Equal(t, []string{"", "after-1"}, p.resumed[ids[0]])
	require.Equal(t, 1, p.startsOf(ids[1]), "unrepeatable work finishes where it is")
	require.Equal(t, dottertask.StateRunning, p.state(o, ids[1]))
	p.checkTruth()
}

// greedy assigns every task to the first worker, whatever the room.
type greedy struct{ dotterelusher.Placer }

// Plan overfills the first worker.
func (g greedy) Plan(state dotterplan.State) dotterplan.Plan {
	var plan dotterplan.Plan
	for _, t := range state.Queue {
		plan.Assignments = append(plan.Assignments, dotterplan.Assignment{Task: t.ID, Worker: state.Workers[0].Host.Name})
	}
	return plan
}

func TestRoomIsCheckedWhateverThePlacerSays(t *testing.T) {
	t.Parallel()
	p := newPool(t, 2)
	options := p.options("a/1")
	options.Placer = greedy{options.Placer}
	o := p.open(options)
	defer o.Stop()
	p.submit(o, many(30, task(true, 2_000))...)
	p.pass(30 * dotterclock.Second)
	require.GreaterOrEqual(t, p.totalStarts(), 4)
	p.checkTruth()
}

func TestLearnedSizeHoldsRoom(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	o := p.open(p.options("a/1"))
	defer o.Stop()
	id := p.submit(o, task(true, longRun))[0]
	p.untilState(o, id, dottertask.StateRunning, 20*dotterclock.Second)
	require.NoError(t, o.runOnLoop(context.Background(), func() {
		o.observe(o.workers["d-w0"], dotterattempt.Report{Usage: []dotterattempt.Usage{{
			Ref: o.ref(o.attempts[id]), Used: dotterroom.Room{MilliCores: 3500, MemoryMB: 100},
		}}}, p.clock.Now())
	}))
	next := p.submit(o, task(true, longRun))[0]
	p.pass(20 * dotterclock.Second)
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

func TestFailuresEndATask(t *testing.T) {
	tests := map[string]struct {
		repeatable bool
		starts     int
	}{"repeatable": {true, 3}, "unrepeatable": {false, 1}}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(t, 1)
			p.workers["d-w0"].fail = true
			o := p.open(p.options("a/1"))
			defer o.Stop()
			id := p.submit(o, task(tc.repeatable, 100))[0]
			p.untilState(o, id, dottertask.StateFailed, 60*dotterclock.Second)
			require.Equal(t, tc.starts, p.startsOf(id))
		})
	}
}

func TestWaveOfCancellations(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	o := p.open(p.options("a/1"))
	defer o.Stop()
	var ids []dottertask.ID
	for range 10 {
		ids = append(ids, p.submit(o, many(1000, task(true, longRun))...)...)
	}
	p.pass(3 * dotterclock.Second)
	writes := segmentsWritten(t, o)
	cancelled := make(chan int, 1)
	go func() {
		result, err := o.Cancel(context.Background(), ids)
		assert.NoError(t, err)
		cancelled <- result.Count
	}()
	count := 0
	p.pump(10*dotterclock.Second, func() bool {
		select {
		case count = <-cancelled:
		default:
		}
		return count > 0
	})
	require.Equal(t, len(ids), count)
	p.pump(60*dotterclock.Second, func() bool {
		status, err := o.Status(context.Background())
		return err == nil && status.Queued == 0 && status.Running == 0
	})
	require.LessOrEqual(t, segmentsWritten(t, o)-writes, int64(8))
	p.checkTruth()
}

func segmentsWritten(t *testing.T, o *Owner) int64 {
	newest := int64(0)
	require.NoError(t, o.runOnLoop(context.Background(), func() { newest = o.log.Newest() }))
	return newest
}

func TestUnlistedWorkerThatAnswersIsLeftAlone(t *testing.T) {
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
	p.pass(10 * dotterclock.Second)
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
		var named []dottertask.Task
		named, err = p.trySubmit(o, large)
		for _, n := range named {
			ids = append(ids, n.ID)
		}
	}
	require.ErrorIs(t, err, ErrRefused)
	p.set(func() { p.allowed.Allowed = true })
	p.pump(60*dotterclock.Second, func() bool { return p.allEnded(o, ids) })
	p.pump(60*dotterclock.Second, func() bool {
		_, err := p.trySubmit(o, task(true, 100))
		return err == nil
	})
}
