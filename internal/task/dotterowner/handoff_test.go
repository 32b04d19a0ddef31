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

var shardE = dottershard.Name{FailureDomain: "e", Number: 0}

// lossyHandoff passes tasks to another owner in the same test and loses the
// first answers, or gives the first calls again later.
type lossyHandoff struct {
	noHandoff
	to *Owner

	mu    sync.Mutex
	lose  int
	calls [][]dotterrecord.Entry
}

// Targets returns the other shard.
func (h *lossyHandoff) Targets(dottershard.Name) []string { return []string{shardE.String()} }

// Adopt passes the entries on.
func (h *lossyHandoff) Adopt(ctx context.Context, _ string, entries []dotterrecord.Entry) error {
	err := h.to.Adopt(ctx, entries)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, entries)
	if h.lose > 0 {
		h.lose--
		return ErrUnknown
	}
	return err
}

func (p *fakePool) optionsE(writer string) Options {
	options := p.options(writer)
	options.Shard = shardE
	options.Placer = dotternaive.New(dotternaive.RuleFirstFit)
	options.Mine = func(w dotterhost.Host) bool { return w.FailureDomain == "e" }
	return options
}

func TestMovedTasksRunOnceThoughCallsAreLostAndRepeated(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	p.addWorker("e", 0)
	e := p.open(p.optionsE("e/1"))
	defer e.Stop()
	h := &lossyHandoff{to: e, lose: 2}
	options := p.options("d/1")
	options.Handoff = h
	d := p.open(options)
	defer d.Stop()
	p.set(func() { p.allowed.Allowed = false })
	ids := p.submit(d, many(6, task(false, 500))...)
	p.editDocument(func(c *dotterconfig.Document) { c.FailureDomains[0].Out = true })
	p.set(func() { p.allowed.Allowed = true })
	p.pump(60*dotterclock.Second, func() bool { return p.allEnded(e, ids) })
	p.pump(60*dotterclock.Second, func() bool { return p.state(d, ids[0]) == dottertask.StateMoved })
	for _, entries := range h.calls {
		require.NoError(t, p.adoptLate(e, entries))
	}
	p.pass(5 * dotterclock.Second)
	for _, id := range ids {
		require.Equal(t, 1, p.startsOf(id))
		require.Equal(t, dottertask.StateDone, p.state(e, id))
		require.Equal(t, dottertask.StateMoved, p.state(d, id))
	}
	p.checkTruth()
}

func TestATaskThatComesBackIsTakenAgain(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	p.addWorker("e", 0)
	e := p.open(p.optionsE("e/1"))
	defer e.Stop()
	h := &lossyHandoff{to: e}
	options := p.options("d/1")
	options.Handoff = h
	d := p.open(options)
	defer d.Stop()
	p.set(func() { p.allowed.Allowed = false })
	id := p.submit(d, task(false, 500))[0]
	p.editDocument(func(c *dotterconfig.Document) { c.FailureDomains[0].Out = true })
	p.untilState(d, id, dottertask.StateMoved, 60*dotterclock.Second)
	p.editDocument(func(c *dotterconfig.Document) { c.FailureDomains[0].Out = false })
	p.pass(3 * dotterclock.Second)
	entry := dotterrecord.Entry{}
	require.NoError(t, e.ask(context.Background(), func() { entry, _ = e.ledger.Entry(id) }))
	require.NoError(t, p.adoptLate(d, []dotterrecord.Entry{entry}))
	require.Equal(t, dottertask.StateQueued, p.state(d, id))
	// The first call to the other shard arrives once more: it still has the task
	// from then, and takes nothing.
	require.NoError(t, p.adoptLate(e, h.calls[0]))
	require.NoError(t, e.ask(context.Background(), func() { entry, _ = e.ledger.Entry(id) }))
	require.Equal(t, 1, entry.Hops)
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
