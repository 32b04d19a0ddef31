package dotterstore

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// noStore is an address at which nothing listens.
const noStore = "127.0.0.1:1"

func TestOwnRateLimitIsNoNewsOfTheStore(t *testing.T) {
	limits := DefaultLimits()
	limits.ReadsPerSecond = 0.001
	limits.Burst = 1
	limits.Timeout = 50
	c := New(noStore, "e1", limits, dotterclock.NewSystem())
	_, err := c.Get(context.Background(), "k")
	require.ErrorIs(t, err, dotterelusher.ErrStoreUnavailable)
	assert.NotErrorIs(t, err, dotterelusher.ErrStoreRateLimited, "the first call is sent")
	_, err = c.Get(context.Background(), "k")
	require.ErrorIs(t, err, dotterelusher.ErrStoreUnavailable)
	assert.ErrorIs(t, err, dotterelusher.ErrStoreRateLimited, "the second one is held back")
}

func TestErrorsSayWhetherAWriteMayHaveTakenEffect(t *testing.T) {
	c := New(noStore, "e1", DefaultLimits(), dotterclock.NewSystem())
	_, err := c.Put(context.Background(), "k", nil, 0, "")
	assert.ErrorIs(t, err, dotterelusher.ErrStoreUnavailable, "nothing was sent")
	assert.NotErrorIs(t, err, dotterelusher.ErrStoreIndeterminate)
}
