package dotterstore

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// closedAddress is an address on which nothing listens.
const closedAddress = "127.0.0.1:1"

func TestRateLimitErrorDiffersFromUnreachableStore(t *testing.T) {
	limits := DefaultLimits()
	limits.ReadsPerSecond = 0.001
	limits.Burst = 1
	limits.Timeout = 50
	c := New(closedAddress, "e1", limits, dotterclock.NewSystem())
	_, err := c.Get(context.Background(), "k")
	require.ErrorIs(t, err, dotterelusher.ErrStoreUnavailable)
	assert.NotErrorIs(t, err, dotterelusher.ErrStoreRateLimited, "the first call is sent")
	_, err = c.Get(context.Background(), "k")
	require.ErrorIs(t, err, dotterelusher.ErrStoreUnavailable)
	assert.ErrorIs(t, err, dotterelusher.ErrStoreRateLimited, "the rate limit holds the second call back")
}

func TestUnsentWriteIsNotIndeterminate(t *testing.T) {
	c := New(closedAddress, "e1", DefaultLimits(), dotterclock.NewSystem())
	_, err := c.Put(context.Background(), "k", nil, 0, "")
	assert.ErrorIs(t, err, dotterelusher.ErrStoreUnavailable, "nothing was sent")
	assert.NotErrorIs(t, err, dotterelusher.ErrStoreIndeterminate)
}
