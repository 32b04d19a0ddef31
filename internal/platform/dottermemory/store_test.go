package dottermemory

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

func TestVersionIsNeverReused(t *testing.T) {
	ctx := context.Background()
	s := New(dotterclock.NewManual(1000))
	first, err := s.Put(ctx, "a", []byte("1"), 0, "")
	require.NoError(t, err)
	_, err = s.Put(ctx, "a", []byte("2"), 0, "")
	require.ErrorIs(t, err, dotterelusher.ErrStoreConflict)
	require.NoError(t, s.Delete(ctx, "a", first))
	_, err = s.Put(ctx, "a", []byte("2"), first, "")
	require.ErrorIs(t, err, dotterelusher.ErrStoreConflict, "a deleted key is absent")
	second, err := s.Put(ctx, "a", []byte("2"), 0, "")
	require.NoError(t, err)
	assert.Greater(t, second, first, "a version is never reused")
}

func TestLeaseExpiresUnlessRenewed(t *testing.T) {
	ctx := context.Background()
	clock := dotterclock.NewManual(1000)
	s := New(clock)
	id, err := s.Grant(ctx, 100)
	require.NoError(t, err)
	_, err = s.Put(ctx, "a", nil, 0, id)
	require.NoError(t, err)
	clock.Advance(99)
	require.NoError(t, s.Renew(ctx, id))
	clock.Advance(99)
	_, err = s.Get(ctx, "a")
	require.NoError(t, err)
	clock.Advance(1)
	_, err = s.Get(ctx, "a")
	require.ErrorIs(t, err, dotterelusher.ErrStoreNotFound)
	require.ErrorIs(t, s.Renew(ctx, id), dotterelusher.ErrStoreLeaseExpired)
}

func TestWatchReportsLeaseExpiry(t *testing.T) {
	ctx := context.Background()
	s := New(dotterclock.NewSystem())
	id, err := s.Grant(ctx, 30)
	require.NoError(t, err)
	_, err = s.Put(ctx, "x/a", nil, 0, id)
	require.NoError(t, err)
	changes, err := s.Watch(ctx, "x/", 0)
	require.NoError(t, err)
	require.Len(t, changes.Entries, 1)
	changes, err = s.Watch(ctx, "x/", changes.Revision)
	require.NoError(t, err)
	assert.Equal(t, []string{"x/a"}, changes.Deleted)
}

func TestInjectedFaults(t *testing.T) {
	ctx := context.Background()
	s := New(dotterclock.NewManual(1000))
	s.LoseAnswers(1)
	_, err := s.Put(ctx, "a", []byte("1"), 0, "")
	require.ErrorIs(t, err, dotterelusher.ErrStoreIndeterminate)
	entry, err := s.Get(ctx, "a")
	require.NoError(t, err, "a write whose answer is lost takes effect")
	s.SetStale(true)
	_, err = s.Put(ctx, "a", []byte("2"), entry.Version, "")
	require.NoError(t, err)
	old, err := s.Get(ctx, "a")
	require.NoError(t, err)
	assert.Equal(t, entry, old)
	s.SetStale(false)
	s.SetDown(true)
	_, err = s.Get(ctx, "a")
	require.ErrorIs(t, err, dotterelusher.ErrStoreUnavailable)
	s.SetDown(false)
	newest, err := s.Get(ctx, "a")
	require.NoError(t, err)
	assert.Equal(t, []byte("2"), newest.Value)
}
