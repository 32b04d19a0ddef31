package dottermember

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/platform/dottermemory"
)

func TestJoinLeaveAndRestart(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	list := &hostList{}
	list.set(false, backend("s"), entry("h1"), entry("h2"), entry("h3"))
	h1 := startNode(t, "h1", "127.0.0.1:0", store, list)
	require.Eventually(t, func() bool { return h1.usable("s") == 8 }, patience, look)

	h2 := startNode(t, "h2", "127.0.0.1:0", store, list)
	h3 := startNode(t, "h3", "127.0.0.1:0", store, list)
	shared := func(nodes ...*node) func() bool {
		return func() bool { return sharedEqually(nodes) }
	}
	require.Eventually(t, shared(h1, h2, h3), patience, look)

	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	require.NoError(t, h3.keeper.Leave(ctx))
	require.Eventually(t, shared(h1, h2), patience, look)
	require.Zero(t, h3.usable("s"))

	address := h2.mesh.Identity().Address
	h2.kill()
	again := startNode(t, "h2", address, store, list)
	require.Eventually(t, shared(h1, again), patience, look)
}

// sharedEqually reports whether nodes, and no others, hold the server's slots
// in equal parts and no earlier epoch is open.
func sharedEqually(nodes []*node) bool {
	sum := 0
	for _, n := range nodes {
		record := n.keeper.Record()
		if len(record.Current.Members) != len(nodes) || len(record.Open) > 0 {
			return false
		}
		usable := n.usable("s")
		if usable < 8/len(nodes) {
			return false
		}
		sum += usable
	}
	return sum == 8
}

func TestReclaimNeedsTheHostList(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	list := &hostList{}
	list.set(false, backend("s"), entry("h1"), entry("h2"))
	h1 := startNode(t, "h1", "127.0.0.1:0", store, list)
	h2 := startNode(t, "h2", "127.0.0.1:0", store, list)
	require.Eventually(t, func() bool { return h1.usable("s") == 4 && h2.usable("s") == 4 }, patience, look)

	h2.kill()
	list.set(true)
	lapsed := func() bool {
		entries, _, err := store.List(t.Context(), alivePrefix)
		return err == nil && len(entries) == 1
	}
	require.Eventually(t, lapsed, patience, look)
	require.Equal(t, 4, h1.usable("s"), "a list that can't be read proves nothing")

	list.set(false, backend("s"), entry("h1"))
	require.Eventually(t, func() bool { return h1.usable("s") == 8 }, patience, look)
}

func TestSharesHoldInAnOutage(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	list := &hostList{}
	list.set(false, backend("s"), entry("h1"), entry("h2"))
	h1 := startNode(t, "h1", "127.0.0.1:0", store, list)
	h2 := startNode(t, "h2", "127.0.0.1:0", store, list)
	halves := func() bool { return h1.usable("s") == 4 && h2.usable("s") == 4 }
	require.Eventually(t, halves, patience, look)

	store.SetDown(true)
	late := startNode(t, "h3", "127.0.0.1:0", store, list, h1.mesh.Identity().Address)
	require.Eventually(t, func() bool { return len(late.mesh.Live()) == 2 }, patience, look, "the seed tells of the others")
	held := dotterclock.NewSystem()
	for start := held.Now(); held.Now()-start < 2000; <-held.After(20) { // longer than a lease
		require.True(t, halves(), "shares hold without the store")
		require.Zero(t, late.usable("s"), "a process in no record holds nothing")
	}

	store.SetDown(false)
	require.Eventually(t, func() bool {
		return late.usable("s") >= 2 && h1.usable("s")+h2.usable("s")+late.usable("s") == 8
	}, patience, look)
}

func TestLostAnswersJoinOnce(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	list := &hostList{}
	list.set(false, backend("s"))
	store.LoseAnswers(4)
	h1 := startNode(t, "h1", "127.0.0.1:0", store, list)
	require.Eventually(t, func() bool { return h1.usable("s") == 8 }, patience, look)
	require.EqualValues(t, 1, h1.keeper.Record().Current.Number)
}

// TestExpelledProcessComesBackAsAnother has a live process marked gone, against
// the rules: it lets go of everything and joins under a new incarnation.
func TestExpelledProcessComesBackAsAnother(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	list := &hostList{}
	list.set(false, backend("s"))
	h1 := startNode(t, "h1", "127.0.0.1:0", store, list)
	require.Eventually(t, func() bool { return h1.usable("s") == 8 }, patience, look)
	first := h1.keeper.Record().Current.Members[0]
	permit, ok := h1.ledger.Slot("s")
	require.True(t, ok)

	expel := func(r Record) Record { return r.WithGone(first) }
	require.NoError(t, h1.keeper.change(t.Context(), kindReclaim, expel))
	require.Eventually(t, func() bool { return h1.usable("s") == 0 }, patience, look)
	<-permit.Withdrawn()
	require.False(t, h1.keeper.Joined())
	permit.Release()
	require.Eventually(t, func() bool { return h1.usable("s") == 8 }, patience, look)
	require.NotEqual(t, first, h1.keeper.Record().Current.Members[0])
}

func TestProvedUnlisted(t *testing.T) {
	tests := map[string]struct {
		since, until, seenAt, lag dotterclock.Millis
		want                      bool
	}{
		"Longer":          {since: 10, until: 41, seenAt: 5, lag: 30, want: true},
		"AsLong":          {since: 10, until: 40, seenAt: 5, lag: 30},
		"KnownOnlyLately": {since: 10, until: 100, seenAt: 80, lag: 30},
		"KnownAfterward":  {since: 10, until: 100, seenAt: 200, lag: 30},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, provedUnlisted(test.since, test.until, test.seenAt, test.lag))
		})
	}
}

// hungStore answers nothing while it hangs.
type hungStore struct {
	*dottermemory.Store
	hangs atomic.Bool
}

func (s *hungStore) wait(ctx context.Context) error {
	if !s.hangs.Load() {
		return nil
	}
	<-ctx.Done()
	return dotterelusher.ErrStoreUnavailable
}

func (s *hungStore) Get(ctx context.Context, key string) (dotterkey.Entry, error) {
	if err := s.wait(ctx); err != nil {
		return dotterkey.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *hungStore) List(ctx context.Context, prefix string) ([]dotterkey.Entry, dotterkey.Revision, error) {
	if err := s.wait(ctx); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, prefix)
}

// TestRecordComesFromAPeer has one member cut off from the store while another
// process joins: it learns of the epoch from a peer and gives up its part.
func TestRecordComesFromAPeer(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	own := &hungStore{Store: store}
	list := &hostList{}
	list.set(false, backend("s"))
	h1 := startNode(t, "h1", "127.0.0.1:0", own, list)
	h2 := startNode(t, "h2", "127.0.0.1:0", store, list)
	require.Eventually(t, func() bool { return sharedEqually([]*node{h1, h2}) }, patience, look)
	own.hangs.Store(true)
	h3 := startNode(t, "h3", "127.0.0.1:0", store, list)
	require.Eventually(t, func() bool {
		return h3.usable("s") >= 2 && h1.usable("s")+h2.usable("s")+h3.usable("s") == 8
	}, patience, look)
	require.EqualValues(t, 3, h1.keeper.Record().Current.Number)
}
