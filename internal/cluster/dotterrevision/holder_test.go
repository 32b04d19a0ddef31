package dotterrevision

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterpeer"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/platform/dottermemory"
)

const look = 5 * time.Millisecond

type node struct {
	mesh     *dotterpeer.Mesh
	holder   *Tracker
	registry *prometheus.Registry
}

func startNode(t testing.TB, name, domain string, store dotterelusher.Store, seeds ...string) *node {
	t.Helper()
	clock := dotterclock.NewSystem()
	registry := prometheus.NewRegistry()
	identity := dotterpeer.Identity{Name: name, FailureDomain: domain, Incarnation: 1, Address: "127.0.0.1:0"}
	mesh, err := dotterpeer.New(dotterpeer.Settings{Identity: identity, Seeds: seeds}, clock, zap.NewNop(), dotterpeer.NewMetrics(registry))
	require.NoError(t, err)
	n := &node{mesh: mesh, registry: registry}
	n.holder = NewTracker(store, mesh, clock, zap.NewNop(), NewMetrics(registry))
	n.holder.Start()
	mesh.Start()
	t.Cleanup(func() {
		require.NoError(t, n.holder.Stop())
		require.NoError(t, n.mesh.Stop())
	})
	return n
}

func (n *node) address() string { return n.mesh.Identity().Address }

func (n *node) has(revision int64) func() bool {
	return func() bool { return n.holder.revision() == revision }
}

func (n *node) allowed(domain string) func() bool {
	return func() bool { return n.holder.StartsAllowed(domain).Allowed }
}

func setDomain(id, name string, out bool) Edit {
	return Edit{ChangeID: id, Change: func(d dotterconfig.Document) (dotterconfig.Document, error) {
		next := []dotterconfig.FailureDomain{{Name: name, Out: out}}
		for _, f := range d.FailureDomains {
			if f.Name != name {
				next = append(next, f)
			}
		}
		d.FailureDomains = next
		return d, nil
	}}
}

func edit(t testing.TB, store *dottermemory.Store, e Edit) {
	t.Helper()
	_, err := NewEditor(store, dotterclock.NewSystem(), accept).Edit(t.Context(), e)
	require.NoError(t, err)
}

func TestSilentWatchIsCovered(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	store.SetSilent(true)
	n := startNode(t, "h1", "a", store)
	edit(t, store, setDomain("one", "a", false))
	require.Eventually(t, n.has(1), patience, look)
	require.Eventually(t, n.allowed("a"), patience, look)
}

func TestNeverReverts(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	n := startNode(t, "h1", "a", store)
	edit(t, store, setDomain("one", "a", false))
	store.SetStale(true)
	require.Eventually(t, n.has(1), patience, look)
	older := dotterconfig.Document{Revision: 0}
	newer := dotterconfig.Document{Revision: 2}
	require.True(t, n.holder.take(newer, sourcePeer))
	require.False(t, n.holder.take(older, sourceRead))
	require.Eventually(t, func() bool { return !n.holder.StartsAllowed("a").Allowed }, patience, look,
		"a store that answers an older revision proves nothing")
	require.EqualValues(t, 2, n.holder.revision())
}

func TestRestartInAnOutageTakesItFromAPeer(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	edit(t, store, setDomain("one", "a", false))
	h1 := startNode(t, "h1", "a", store)
	require.Eventually(t, h1.has(1), patience, look)
	store.SetDown(true)
	h2 := startNode(t, "h2", "a", store, h1.address())
	require.Eventually(t, h2.has(1), patience, look)
	peers := h1.mesh.Live()
	require.Eventually(t, func() bool {
		peers = h1.mesh.Live()
		return len(peers) == 1 && peers[0].Revision == 1
	}, patience, look, "peers show the revision in force")
}

func TestStartsInAnOutage(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	edit(t, store, setDomain("one", "a", false))
	edit(t, store, setDomain("two", "b", false))
	edit(t, store, setDomain("three", "c", true))
	a := startNode(t, "a1", "a", store)
	b := startNode(t, "b1", "b", store, a.address())
	c := startNode(t, "c1", "c", store, a.address(), b.address())
	for _, n := range []*node{a, b, c} {
		require.Eventually(t, n.has(3), patience, look)
	}
	require.Eventually(t, a.allowed("a"), patience, look)

	store.SetDown(true)
	require.Eventually(t, func() bool {
		p := a.holder.StartsAllowed("c")
		return !p.Allowed && !p.Overridable && p.Reason == reasonOut
	}, patience, look, "out is out, also in an outage")
	witnessed := func() bool {
		a.holder.mu.Lock()
		defer a.holder.mu.Unlock()
		now := a.holder.clock.Now()
		return !a.holder.fresh.current(now) && a.holder.fresh.outageEverywhere(now, a.holder.otherDomains())
	}
	require.Eventually(t, witnessed, patience, look)
	require.Eventually(t, a.allowed("a"), patience, look)

	require.NoError(t, c.mesh.Stop())
	require.Eventually(t, func() bool {
		p := a.holder.StartsAllowed("a")
		return !p.Allowed && p.Overridable
	}, patience, look, "cut off from a domain that may know of a change")
}

func TestStampProvesOnlyItsOwnRevision(t *testing.T) {
	tests := map[string]struct {
		stamp  int64
		proves bool
	}{
		"Same":   {stamp: 2, proves: true},
		"Ahead":  {stamp: 3},
		"Behind": {stamp: 1},
		"None":   {stamp: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &Tracker{document: dotterconfig.Document{Revision: 2}}
			require.Equal(t, test.proves, h.matches(stamp{Revision: test.stamp}))
		})
	}
}

func TestStampIsRaisedBeforeTheDocument(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	refused := errors.New("refused")
	editor := NewEditor(store, dotterclock.NewSystem(), func(dotterconfig.Document) error { return refused })
	_, err := editor.Edit(t.Context(), setDomain("invalid", "a", false))
	require.ErrorIs(t, err, ErrEditInvalid)
	s, _, err := readStamp(t.Context(), store)
	require.NoError(t, err)
	require.Zero(t, s.Revision, "an edit that is refused raises nothing")

	edit(t, store, setDomain("one", "a", false))
	require.NoError(t, raiseStamp(t.Context(), store, 7))
	require.NoError(t, raiseStamp(t.Context(), store, 3))
	s, _, err = readStamp(t.Context(), store)
	require.NoError(t, err)
	require.EqualValues(t, 7, s.Revision, "a stamp is never lowered")

	n := startNode(t, "h1", "a", store)
	require.Eventually(t, n.allowed("a"), patience, look, "behind the stamp of an edit given up, the document is read")
}

// cutStore is a store that one process can be cut off from.
type cutStore struct {
	*dottermemory.Store
	cut atomic.Bool
}

func (s *cutStore) Get(ctx context.Context, key string) (dotterkey.Entry, error) {
	if s.cut.Load() {
		return dotterkey.Entry{}, dotterelusher.ErrStoreUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *cutStore) List(ctx context.Context, prefix string) ([]dotterkey.Entry, dotterkey.Revision, error) {
	if s.cut.Load() {
		return nil, 0, dotterelusher.ErrStoreUnavailable
	}
	return s.Store.List(ctx, prefix)
}

// Watch stays silent while the process is cut off.
func (s *cutStore) Watch(ctx context.Context, prefix string, after dotterkey.Revision) (dotterkey.Changes, error) {
	changes, err := s.Store.Watch(ctx, prefix, after)
	if s.cut.Load() {
		return dotterkey.Changes{}, dotterelusher.ErrStoreUnavailable
	}
	return changes, err
}

func TestCutOffFromTheStoreIsProvedByPeers(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	edit(t, store, setDomain("one", "a", false))
	edit(t, store, setDomain("two", "b", false))
	own := &cutStore{Store: store}
	a := startNode(t, "a1", "a", own)
	startNode(t, "b1", "b", store, a.address())
	require.Eventually(t, a.has(2), patience, look)

	own.cut.Store(true)
	cutAt := a.holder.clock.Now()
	provedSince := func() bool {
		a.holder.mu.Lock()
		defer a.holder.mu.Unlock()
		return a.holder.fresh.provedAt > cutAt+EvidenceLimit
	}
	require.Eventually(t, provedSince, patience, look, "b still reads the store")
	require.Eventually(t, a.allowed("a"), patience, look)

	edit(t, store, setDomain("three", "a", true))
	require.Eventually(t, func() bool {
		p := a.holder.StartsAllowed("a")
		return !p.Allowed && !p.Overridable
	}, patience, look, "the change comes by b")
	require.EqualValues(t, 3, a.holder.revision())
}

// heldBack is a store that this process's own rate limit never lets it ask.
type heldBack struct {
	dotterelusher.Store
}

func (heldBack) Get(context.Context, string) (dotterkey.Entry, error) {
	return dotterkey.Entry{}, errors.Join(dotterelusher.ErrStoreUnavailable, dotterelusher.ErrStoreNotAsked)
}

// TestOwnRateLimitIsNoOutage wants a process that may not ask the store to bear
// no witness that the store is away.
func TestOwnRateLimitIsNoOutage(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	tests := map[string]struct {
		store   dotterelusher.Store
		witness bool
	}{
		"held back": {store: heldBack{store}, witness: false},
		"away":      {store: away{store}, witness: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := &Tracker{store: tc.store, clock: dotterclock.NewManual(1000), metrics: NewMetrics(prometheus.NewRegistry())}
			require.False(t, h.readDocument(t.Context(), 1000))
			require.Equal(t, tc.witness, h.fresh.evidence(1000, 1).OutageAge != noAge)
		})
	}
}

// away is a store that gives no answer.
type away struct {
	dotterelusher.Store
}

func (away) Get(context.Context, string) (dotterkey.Entry, error) {
	return dotterkey.Entry{}, dotterelusher.ErrStoreUnavailable
}
