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
	require.Eventually(t, func() bool { return h1.usable("s") == 8 }, waitTimeout, pollInterval)

	h2 := startNode(t, "h2", "127.0.0.1:0", store, list)
	h3 := startNode(t, "h3", "127.0.0.1:0", store, list)
	shared := func(nodes ...*node) func() bool {
		return func() bool { return sharedEqually(nodes) }
	}
	require.Eventually(t, shared(h1, h2, h3), waitTimeout, pollInterval)

	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	require.NoError(t, h3.membership.Leave(ctx))
	require.Eventually(t, shared(h1, h2), waitTimeout, pollInterval)
	require.Zero(t, h3.usable("s"))

	address := h2.mesh.Identity().Address
	h2.kill()
	restarted := startNode(t, "h2", address, store, list)
	require.Eventually(t, shared(h1, restarted), waitTimeout, pollInterval)
}

// sharedEqually reports whether nodes are the only members, may use equal shares of
// the server's slots, and no epoch is open.
func sharedEqually(nodes []*node) bool {
	sum := 0
	for _, n := range nodes {
		record := n.membership.Record()
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

func TestReclaimRequiresHostList(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	list := &hostList{}
	list.set(false, backend("s"), entry("h1"), entry("h2"))
	h1 := startNode(t, "h1", "127.0.0.1:0", store, list)
	h2 := startNode(t, "h2", "127.0.0.1:0", store, list)
	require.Eventually(t, func() bool { return h1.usable("s") == 4 && h2.usable("s") == 4 }, waitTimeout, pollInterval)

	h2.kill()
	list.set(true)
	expired := func() bool {
		entries, _, err := store.List(t.Context(), alivePrefix)
		return err == nil && len(entries) == 1
	}
	require.Eventually(t, expired, waitTimeout, pollInterval)
	require.Equal(t, 4, h1.usable("s"), "a failed read of the host list does not prove that a member is gone")

	list.set(false, backend("s"), entry("h1"))
	require.Eventually(t, func() bool { return h1.usable("s") == 8 }, waitTimeout, pollInterval)
}

func TestSharesStayValidInStoreOutage(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	list := &hostList{}
	list.set(false, backend("s"), entry("h1"), entry("h2"))
	h1 := startNode(t, "h1", "127.0.0.1:0", store, list)
	h2 := startNode(t, "h2", "127.0.0.1:0", store, list)
	halves := func() bool { return h1.usable("s") == 4 && h2.usable("s") == 4 }
	require.Eventually(t, halves, waitTimeout, pollInterval)

	store.SetDown(true)
	h3 := startNode(t, "h3", "127.0.0.1:0", store, list, h1.mesh.Identity().Address)
	require.Eventually(t, func() bool { return len(h3.mesh.Live()) == 2 }, waitTimeout, pollInterval, "the seed returns the addresses of the others")
	clock := dotterclock.NewSystem()
	for start := clock.Now(); clock.Now()-start < 2000; <-clock.After(20) { // exceeds the lease duration
		require.True(t, halves(), "shares stay valid without the store")
		require.Zero(t, h3.usable("s"), "a process that is in no record has no share")
	}

	store.SetDown(false)
	require.Eventually(t, func() bool {
		return h3.usable("s") >= 2 && h1.usable("s")+h2.usable("s")+h3.usable("s") == 8
	}, waitTimeout, pollInterval)
}

func TestLostStoreAnswersJoinOnce(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	list := &hostList{}
	list.set(false, backend("s"))
	store.LoseAnswers(4)
	h1 := startNode(t, "h1", "127.0.0.1:0", store, list)
	require.Eventually(t, func() bool { return h1.usable("s") == 8 }, waitTimeout, pollInterval)
	require.EqualValues(t, 1, h1.membership.Record().Current.Number)
}

// TestLiveProcessMarkedGoneRejoins marks a live process as gone, which the
// protocol rules out. The process must release everything and then join under a
// new incarnation.
func TestLiveProcessMarkedGoneRejoins(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	list := &hostList{}
	list.set(false, backend("s"))
	h1 := startNode(t, "h1", "127.0.0.1:0", store, list)
	require.Eventually(t, func() bool { return h1.usable("s") == 8 }, waitTimeout, pollInterval)
	first := h1.membership.Record().Current.Members[0]
	permit, ok := h1.ledger.Slot("s")
	require.True(t, ok)

	expel := func(r Record) Record { return r.WithGone(first) }
	require.NoError(t, h1.membership.change(t.Context(), kindReclaim, expel))
	require.Eventually(t, func() bool { return h1.usable("s") == 0 }, waitTimeout, pollInterval)
	<-permit.Withdrawn()
	require.False(t, h1.membership.Joined())
	permit.Release()
	require.Eventually(t, func() bool { return h1.usable("s") == 8 }, waitTimeout, pollInterval)
	require.NotEqual(t, first, h1.membership.Record().Current.Members[0])
}

func TestAbsenceExceedsLag(t *testing.T) {
	tests := map[string]struct {
		since, until, firstSeen, lag dotterclock.Millis
		want                         bool
	}{
		"LongerThanLag":     {since: 10, until: 41, firstSeen: 5, lag: 30, want: true},
		"EqualToLag":        {since: 10, until: 40, firstSeen: 5, lag: 30},
		"SeenDuringAbsence": {since: 10, until: 100, firstSeen: 80, lag: 30},
		"SeenAfterAbsence":  {since: 10, until: 100, firstSeen: 200, lag: 30},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, absenceExceedsLag(test.since, test.until, test.firstSeen, test.lag))
		})
	}
}

// hangingStore is a store whose reads hang until their context ends while hanging
// is set.
type hangingStore struct {
	*dottermemory.Store
	hanging atomic.Bool
}

func (s *hangingStore) waitIfHanging(ctx context.Context) error {
	if !s.hanging.Load() {
		return nil
	}
	<-ctx.Done()
	return dotterelusher.ErrStoreUnavailable
}

func (s *hangingStore) Get(ctx context.Context, key string) (dotterkey.Entry, error) {
	if err := s.waitIfHanging(ctx); err != nil {
		return dotterkey.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *hangingStore) List(ctx context.Context, prefix string) ([]dotterkey.Entry, dotterkey.Revision, error) {
	if err := s.waitIfHanging(ctx); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, prefix)
}

// TestRecordIsFetchedFromPeer disconnects one member from the store while another
// process joins. The member must fetch the new epoch from a peer and give up part
// of its share.
func TestRecordIsFetchedFromPeer(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	hanging := &hangingStore{Store: store}
	list := &hostList{}
	list.set(false, backend("s"))
	h1 := startNode(t, "h1", "127.0.0.1:0", hanging, list)
	h2 := startNode(t, "h2", "127.0.0.1:0", store, list)
	require.Eventually(t, func() bool { return sharedEqually([]*node{h1, h2}) }, waitTimeout, pollInterval)
	hanging.hanging.Store(true)
	h3 := startNode(t, "h3", "127.0.0.1:0", store, list)
	require.Eventually(t, func() bool {
		return h3.usable("s") >= 2 && h1.usable("s")+h2.usable("s")+h3.usable("s") == 8
	}, waitTimeout, pollInterval)
	require.EqualValues(t, 3, h1.membership.Record().Current.Number)
}
