package dotterclaims

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterclaim"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/platform/dottermemory"
)

var key = dotterclaim.Key{Team: "brokers", Template: "clearance", Key: "transfer 7/2"}

func newStore() *dottermemory.Store {
	return dottermemory.New(dotterclock.NewSystem())
}

func mustClaim(t *testing.T, c *Claims, fingerprint string) dotterclaim.Claim {
	t.Helper()
	claim, err := c.Claim(context.Background(), key, fingerprint)
	require.NoError(t, err)
	return claim
}

func TestClaimStates(t *testing.T) {
	store := newStore()
	a := New("entry-a", store, dotterclock.NewSystem())
	b := New("entry-b", store, dotterclock.NewSystem())
	first := mustClaim(t, a, "f")
	assert.Equal(t, dotterclaim.StateFresh, first.State)
	assert.Equal(t, dotterclaim.StateOpen, mustClaim(t, b, "f").State)
	assert.Equal(t, dotterclaim.StateMismatch, mustClaim(t, b, "g").State)
	answer := dotterclaim.Answer{Status: 201, Body: []byte("cleared")}
	require.NoError(t, a.Complete(context.Background(), first, answer))
	second := mustClaim(t, b, "f")
	assert.Equal(t, dotterclaim.StateAnswered, second.State)
	assert.Equal(t, answer, second.Answer)
}

func TestAbandonedKeyIsFreeAgain(t *testing.T) {
	c := New("entry-a", newStore(), dotterclock.NewSystem())
	require.NoError(t, c.Abandon(context.Background(), mustClaim(t, c, "f")))
	assert.Equal(t, dotterclaim.StateFresh, mustClaim(t, c, "g").State)
}

func TestLargeAnswerIsOmitted(t *testing.T) {
	c := New("entry-a", newStore(), dotterclock.NewSystem())
	first := mustClaim(t, c, "f")
	large := dotterclaim.Answer{Status: 200, Body: make([]byte, MaxAnswerBytes+1)}
	require.NoError(t, c.Complete(context.Background(), first, large))
	second := mustClaim(t, c, "f")
	assert.Equal(t, dotterclaim.Answer{Status: 200, Omitted: true}, second.Answer)
}

func TestOnlyOneHostGetsTheClaim(t *testing.T) {
	store := newStore()
	var fresh int
	var mu sync.Mutex
	var hosts sync.WaitGroup
	for range 16 {
		hosts.Go(func() {
			c := New("entry", store, dotterclock.NewSystem())
			claim, err := c.Claim(context.Background(), key, "f")
			assert.NoError(t, err)
			mu.Lock()
			defer mu.Unlock()
			if claim.State == dotterclaim.StateFresh {
				fresh++
			}
		})
	}
	hosts.Wait()
	assert.Equal(t, 1, fresh)
}

func TestStoreAnswersAreLost(t *testing.T) {
	store := newStore()
	c := New("entry-a", store, dotterclock.NewSystem())
	other := dotterclaim.Key{Team: "brokers", Template: "clearance", Key: "opens the lease"}
	_, err := c.Claim(context.Background(), other, "f")
	require.NoError(t, err)

	store.LoseAnswers(1)
	first := mustClaim(t, c, "f")
	assert.Equal(t, dotterclaim.StateFresh, first.State, "the claim was written although the store's answer was lost")
	assert.Equal(t, dotterclaim.StateOpen, mustClaim(t, c, "f").State)
	store.LoseAnswers(1)
	require.NoError(t, c.Complete(context.Background(), first, dotterclaim.Answer{Status: 200}))
	assert.Equal(t, dotterclaim.StateAnswered, mustClaim(t, c, "f").State)
}

func TestStoreIsUnavailable(t *testing.T) {
	store := newStore()
	c := New("entry-a", store, dotterclock.NewSystem())
	first := mustClaim(t, c, "f")
	store.SetDown(true)
	_, err := c.Claim(context.Background(), key, "f")
	assert.True(t, errors.Is(err, dotterelusher.ErrClaimsUnavailable))
	completed := make(chan error, 1)
	go func() {
		completed <- c.Complete(context.Background(), first, dotterclaim.Answer{Status: 200})
	}()
	time.Sleep(20 * time.Millisecond)
	store.SetDown(false)
	require.NoError(t, <-completed)
	assert.Equal(t, dotterclaim.StateAnswered, mustClaim(t, c, "f").State)
}

// failingReads is a store whose reads can be made to fail.
type failingReads struct {
	*dottermemory.Store
	fail atomic.Bool
}

func (s *failingReads) Get(ctx context.Context, key string) (dotterkey.Entry, error) {
	if s.fail.Load() {
		return dotterkey.Entry{}, dotterelusher.ErrStoreUnavailable
	}
	return s.Store.Get(ctx, key)
}

// A claim whose write took effect but whose answer was lost, and that can't be read
// back, makes the request fail. Abandon must then remove it, or the key would stay
// claimed by a request that never ran.
func TestUncertainClaimIsRemoved(t *testing.T) {
	store := &failingReads{Store: newStore()}
	c := New("entry-a", store, dotterclock.NewSystem())
	other := dotterclaim.Key{Team: "brokers", Template: "clearance", Key: "opens the lease"}
	_, err := c.Claim(context.Background(), other, "f")
	require.NoError(t, err)
	store.LoseAnswers(1)
	store.fail.Store(true)
	uncertain, err := c.Claim(context.Background(), key, "f")
	require.ErrorIs(t, err, dotterelusher.ErrClaimsUnavailable)
	require.Equal(t, dotterclaim.StateOpen, uncertain.State)
	store.fail.Store(false)
	assert.Equal(t, dotterclaim.StateOpen, mustClaim(t, c, "f").State, "the write did take effect")
	require.NoError(t, c.Abandon(context.Background(), uncertain))
	assert.Equal(t, dotterclaim.StateFresh, mustClaim(t, c, "f").State)
}

func TestClaimsExpire(t *testing.T) {
	clock := dotterclock.NewManual(1)
	c := New("entry-a", dottermemory.New(clock), clock)
	assert.Equal(t, dotterclaim.StateFresh, mustClaim(t, c, "f").State)
	clock.Advance(retentionMillis - 1)
	assert.Equal(t, dotterclaim.StateOpen, mustClaim(t, c, "f").State)
	clock.Advance(leaseWindowMillis + 2)
	assert.Equal(t, dotterclaim.StateFresh, mustClaim(t, c, "f").State)
}

func TestStoreKeys(t *testing.T) {
	long := strings.Repeat("x", 300)
	tests := map[string]struct{ a, b dotterclaim.Key }{
		"slash moves":   {dotterclaim.Key{Team: "a/b", Template: "c", Key: "d"}, dotterclaim.Key{Team: "a", Template: "b/c", Key: "d"}},
		"long keys":     {dotterclaim.Key{Key: long + "1"}, dotterclaim.Key{Key: long + "2"}},
		"another team":  {dotterclaim.Key{Team: "a", Key: "k"}, dotterclaim.Key{Team: "b", Key: "k"}},
		"escaped slash": {dotterclaim.Key{Key: "a%2Fb"}, dotterclaim.Key{Key: "a/b"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			assert.NotEqual(t, storeKey(tc.a), storeKey(tc.b))
			assert.Less(t, len(storeKey(tc.a)), 512)
		})
	}
}
