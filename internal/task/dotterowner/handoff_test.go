package dotterowner

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotternaive"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershard"
)

var (
	shardE = dottershard.Name{FailureDomain: "e", Number: 0}
	shardF = dottershard.Name{FailureDomain: "f", Number: 0}
)

// lossyHandoff passes tasks to other owners in the same test and loses the
// first answers.
type lossyHandoff struct {
	noHandoff
	to      map[string]*Owner
	targets []string

	mu    sync.Mutex
	lose  int
	calls [][]dotterrecord.Entry
}

// Targets returns the other shards.
func (h *lossyHandoff) Targets(dottershard.Name) []string { return h.targets }

// Adopt passes the entries on.
func (h *lossyHandoff) Adopt(ctx context.Context, target string, entries []dotterrecord.Entry) error {
	err := h.to[target].Adopt(ctx, entries)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, entries)
	if h.lose > 0 {
		h.lose--
		return ErrUnknown
	}
	return err
}

func (p *fakePool) optionsOf(shard dottershard.Name, h Handoff) Options {
	options := p.options(shard.String() + "/1")
	options.Shard = shard
	options.Handoff = h
	options.Placer = dotternaive.New(dotternaive.RuleFirstFit)
	options.OwnsWorker = func(w dotterhost.Host) bool { return w.FailureDomain == shard.FailureDomain }
	return options
}

func (p *fakePool) setOut(domain string, out bool) {
	p.editDocument(func(c *dotterconfig.Document) {
		domains := append([]dotterconfig.FailureDomain(nil), c.FailureDomains...)
		for i := range domains {
			if domains[i].Name == domain {
				domains[i].Out = out
			}
		}
		c.FailureDomains = domains
	})
}

func TestMovedTasksRunOnceThoughCallsAreLostAndRepeated(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	p.addWorker("e", 0)
	p.addWorker("f", 0)
	e := p.open(p.optionsOf(shardE, noHandoff{}))
	defer e.Stop()
	f := p.open(p.optionsOf(shardF, noHandoff{}))
	defer f.Stop()
	h := &lossyHandoff{to: map[string]*Owner{"e-0": e, "f-0": f}, targets: []string{"e-0", "f-0"}, lose: 3}
	d := p.open(p.optionsOf(shardD, h))
	defer d.Stop()
	p.set(func() { p.allowed.Allowed = false })
	ids := p.submit(d, many(6, task(false, 500))...)
	p.setOut("d", true)
	p.set(func() { p.allowed.Allowed = true })
	p.pump(60*dotterclock.Second, func() bool { return p.countState(d, ids, dottertask.StateMoved) == len(ids) })
	p.pump(60*dotterclock.Second, func() bool {
		return p.countState(e, ids, dottertask.StateDone)+p.countState(f, ids, dottertask.StateDone) == len(ids)
	})
	for _, entries := range h.calls {
		for _, o := range []*Owner{e, f} {
			if p.knows(o, entries[0].Task.ID) {
				require.NoError(t, p.adoptLate(o, entries))
			}
		}
	}
	p.pass(5 * dotterclock.Second)
	for _, id := range ids {
		require.Equal(t, 1, p.startsOf(id))
	}
	p.checkTruth()
}

func (p *fakePool) knows(o *Owner, id dottertask.ID) bool {
	_, _, err := o.Get(context.Background(), id)
	return err == nil
}

func (p *fakePool) countState(o *Owner, ids []dottertask.ID, state dottertask.State) int {
	count := 0
	for _, id := range ids {
		if got, _, err := o.Get(context.Background(), id); err == nil && got.State == state {
			count++
		}
	}
	return count
}

func TestATaskThatComesBackIsTakenAgain(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	p.addWorker("e", 0)
	back := &lossyHandoff{to: map[string]*Owner{}, targets: []string{"d-0"}}
	e := p.open(p.optionsOf(shardE, back))
	defer e.Stop()
	h := &lossyHandoff{to: map[string]*Owner{"e-0": e}, targets: []string{"e-0"}}
	d := p.open(p.optionsOf(shardD, h))
	defer d.Stop()
	back.to["d-0"] = d
	p.set(func() { p.allowed.Allowed = false })
	id := p.submit(d, task(false, 500))[0]
	p.setOut("d", true)
	p.untilState(d, id, dottertask.StateMoved, 60*dotterclock.Second)
	p.setOut("d", false)
	p.pass(3 * dotterclock.Second)
	p.setOut("e", true)
	p.untilState(e, id, dottertask.StateMoved, 60*dotterclock.Second)
	require.Equal(t, dottertask.StateQueued, p.state(d, id), "the task is back")
	p.setOut("e", false)
	p.pass(3 * dotterclock.Second)
	// The first call to the other shard arrives once more, after it gave the task back.
	require.NoError(t, p.adoptLate(e, h.calls[0]))
	require.Equal(t, dottertask.StateMoved, p.state(e, id))
	p.set(func() { p.allowed.Allowed = true })
	p.untilState(d, id, dottertask.StateDone, 60*dotterclock.Second)
	p.pass(5 * dotterclock.Second)
	require.Equal(t, 1, p.startsOf(id))
}

// adoptLate makes a call that arrives late.
func (p *fakePool) adoptLate(o *Owner, entries []dotterrecord.Entry) error {
	answers := make(chan error, 1)
	go func() { answers <- o.Adopt(context.Background(), entries) }()
	var err error
	p.pump(20*dotterclock.Second, func() bool {
		select {
		case err = <-answers:
			return true
		default:
			return false
		}
	})
	return err
}
