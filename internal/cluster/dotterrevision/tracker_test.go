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

const pollInterval = 5 * time.Millisecond

type node struct {
	mesh     *dotterpeer.Mesh
	tracker  *Tracker
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
	n.tracker = NewTracker(store, mesh, clock, zap.NewNop(), NewMetrics(registry))
	n.tracker.Start()
	mesh.Start()
	t.Cleanup(func() {
		require.NoError(t, n.tracker.Stop())
		require.NoError(t, n.mesh.Stop())
	})
	return n
}

func (n *node) address() string { return n.mesh.Identity().Address }

func (n *node) hasRevision(revision int64) func() bool {
	return func() bool { return n.tracker.revision() == revision }
}

func (n *node) allowed(domain string) func() bool {
	return func() bool { return n.tracker.StartsAllowed(domain).Allowed }
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

func TestRevisionArrivesWithSilentWatch(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	store.SetSilent(true)
	n := startNode(t, "h1", "a", store)
	edit(t, store, setDomain("one", "a", false))
	require.Eventually(t, n.hasRevision(1), waitTimeout, pollInterval)
	require.Eventually(t, n.allowed("a"), waitTimeout, pollInterval)
}

func TestNeverRevertsRevision(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	n := startNode(t, "h1", "a", store)
	edit(t, store, setDomain("one", "a", false))
	store.SetStale(true)
	require.Eventually(t, n.hasRevision(1), waitTimeout, pollInterval)
	older := dotterconfig.Document{Revision: 0}
	newer := dotterconfig.Document{Revision: 2}
	require.True(t, n.tracker.adopt(newer, sourcePeer))
	require.False(t, n.tracker.adopt(older, sourceRead))
	require.Eventually(t, func() bool { return !n.tracker.StartsAllowed("a").Allowed }, waitTimeout, pollInterval,
		"a store that answers an older revision proves nothing")
	require.EqualValues(t, 2, n.tracker.revision())
}

func TestStartDuringOutageFetchesFromPeer(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	edit(t, store, setDomain("one", "a", false))
	h1 := startNode(t, "h1", "a", store)
	require.Eventually(t, h1.hasRevision(1), waitTimeout, pollInterval)
	store.SetDown(true)
	h2 := startNode(t, "h2", "a", store, h1.address())
	require.Eventually(t, h2.hasRevision(1), waitTimeout, pollInterval)
	peers := h1.mesh.Live()
	require.Eventually(t, func() bool {
		peers = h1.mesh.Live()
		return len(peers) == 1 && peers[0].Revision == 1
	}, waitTimeout, pollInterval, "peers show the revision in force")
}

func TestTaskStartsDuringOutage(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	edit(t, store, setDomain("one", "a", false))
	edit(t, store, setDomain("two", "b", false))
	edit(t, store, setDomain("three", "c", true))
	a := startNode(t, "a1", "a", store)
	b := startNode(t, "b1", "b", store, a.address())
	c := startNode(t, "c1", "c", store, a.address(), b.address())
	for _, n := range []*node{a, b, c} {
		require.Eventually(t, n.hasRevision(3), waitTimeout, pollInterval)
	}
	require.Eventually(t, a.allowed("a"), waitTimeout, pollInterval)

	store.SetDown(true)
	require.Eventually(t, func() bool {
		p := a.tracker.StartsAllowed("c")
		return !p.Allowed && !p.Overridable && p.Reason == reasonDomainOut
	}, waitTimeout, pollInterval, "a domain that is out stays out during an outage")
	outageConfirmed := func() bool {
		a.tracker.mu.Lock()
		defer a.tracker.mu.Unlock()
		now := a.tracker.clock.Now()
		return !a.tracker.freshness.current(now) && a.tracker.freshness.outageEverywhere(now, a.tracker.otherDomains())
	}
	require.Eventually(t, outageConfirmed, waitTimeout, pollInterval)
	require.Eventually(t, a.allowed("a"), waitTimeout, pollInterval)

	require.NoError(t, c.mesh.Stop())
	require.Eventually(t, func() bool {
		p := a.tracker.StartsAllowed("a")
		return !p.Allowed && p.Overridable
	}, waitTimeout, pollInterval, "starts stop if a domain is unreachable, since it may know of a change")
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
			tracker := &Tracker{document: dotterconfig.Document{Revision: 2}}
			require.Equal(t, test.proves, tracker.stampMatches(stamp{Revision: test.stamp}))
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
	require.Zero(t, s.Revision, "a refused edit does not raise the stamp")

	edit(t, store, setDomain("one", "a", false))
	require.NoError(t, raiseStamp(t.Context(), store, 7))
	require.NoError(t, raiseStamp(t.Context(), store, 3))
	s, _, err = readStamp(t.Context(), store)
	require.NoError(t, err)
	require.EqualValues(t, 7, s.Revision, "the stamp is never lowered")

	n := startNode(t, "h1", "a", store)
	require.Eventually(t, n.allowed("a"), waitTimeout, pollInterval, "the document is read if the stamp of an abandoned edit is ahead of it")
}

// partitionedStore is a store that one process can be cut off from by setting
// unreachable.
type partitionedStore struct {
	*dottermemory.Store
	unreachable atomic.Bool
}

func (s *partitionedStore) Get(ctx context.Context, key string) (dotterkey.Entry, error) {
	if s.unreachable.Load() {
		return dotterkey.Entry{}, dotterelusher.ErrStoreUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *partitionedStore) List(ctx context.Context, prefix string) ([]dotterkey.Entry, dotterkey.Revision, error) {
	if s.unreachable.Load() {
		return nil, 0, dotterelusher.ErrStoreUnavailable
	}
	return s.Store.List(ctx, prefix)
}

// Watch delivers no changes while the store is unreachable.
func (s *partitionedStore) Watch(ctx context.Context, prefix string, after dotterkey.Revision) (dotterkey.Changes, error) {
	changes, err := s.Store.Watch(ctx, prefix, after)
	if s.unreachable.Load() {
		return dotterkey.Changes{}, dotterelusher.ErrStoreUnavailable
	}
	return changes, err
}

func TestPeersProveFreshnessWhenStoreIsUnreachable(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	edit(t, store, setDomain("one", "a", false))
	edit(t, store, setDomain("two", "b", false))
	own := &partitionedStore{Store: store}
	a := startNode(t, "a1", "a", own)
	startNode(t, "b1", "b", store, a.address())
	require.Eventually(t, a.hasRevision(2), waitTimeout, pollInterval)

	own.unreachable.Store(true)
	cutAt := a.tracker.clock.Now()
	provedSince := func() bool {
		a.tracker.mu.Lock()
		defer a.tracker.mu.Unlock()
		return a.tracker.freshness.provedAt > cutAt+MaxEvidenceAge
	}
	require.Eventually(t, provedSince, waitTimeout, pollInterval, "b still reads the store")
	require.Eventually(t, a.allowed("a"), waitTimeout, pollInterval)

	edit(t, store, setDomain("three", "a", true))
	require.Eventually(t, func() bool {
		p := a.tracker.StartsAllowed("a")
		return !p.Allowed && !p.Overridable
	}, waitTimeout, pollInterval, "the change arrives through b")
	require.EqualValues(t, 3, a.tracker.revision())
}

// rateLimitedStore is a store whose reads are all refused by the rate limit of this
// process, so that none is sent.
type rateLimitedStore struct {
	dotterelusher.Store
}

func (rateLimitedStore) Get(context.Context, string) (dotterkey.Entry, error) {
	return dotterkey.Entry{}, errors.Join(dotterelusher.ErrStoreUnavailable, dotterelusher.ErrStoreRateLimited)
}

// TestRateLimitedReadIsNoOutage checks that a process does not report an outage of
// the store if its own rate limit kept it from sending the read.
func TestRateLimitedReadIsNoOutage(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	tests := map[string]struct {
		store  dotterelusher.Store
		outage bool
	}{
		"rate limited": {store: rateLimitedStore{store}, outage: false},
		"down":         {store: downStore{store}, outage: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := &Tracker{store: tc.store, clock: dotterclock.NewManual(1000), metrics: NewMetrics(prometheus.NewRegistry())}
			require.False(t, tracker.readDocument(t.Context(), 1000))
			require.Equal(t, tc.outage, tracker.freshness.evidence(1000, 1).OutageAge != ageNever)
		})
	}
}

// downStore is a store that is unavailable.
type downStore struct {
	dotterelusher.Store
}

func (downStore) Get(context.Context, string) (dotterkey.Entry, error) {
	return dotterkey.Entry{}, dotterelusher.ErrStoreUnavailable
}
