package dotterhead

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/platform/dottermemory"
)

const testKey = "Dotter/Head"

// lateStore keeps a commit back and gives no answer; it is carried out when the test says so.
type lateStore struct {
	*dottermemory.Store
	keep bool
	kept []dotterkey.Transaction
}

func (s *lateStore) Commit(ctx context.Context, t dotterkey.Transaction) (dotterkey.Revision, []dotterkey.Entry, error) {
	if s.keep {
		s.keep = false
		s.kept = append(s.kept, t)
		return 0, nil, dotterelusher.ErrStoreIndeterminate
	}
	return s.Store.Commit(ctx, t)
}

func newKeeper(store dotterelusher.TransactionalStore, clock dotterelusher.Clock, host string, weak bool) *Elector {
	return New(store, clock, zap.NewNop(), testKey, host, host+":1", weak)
}

// owner returns the chain of a host that has taken the shard over.
func owner(t *testing.T, store dotterelusher.TransactionalStore, clock dotterelusher.Clock, host string) *Committer {
	k := newKeeper(store, clock, host, false)
	k.look(t.Context())
	c := k.takeOver(t.Context())
	require.NotNil(t, c)
	return c
}

func put(key, value string) []dotterkey.Entry {
	return []dotterkey.Entry{{Key: key, Value: []byte(value)}}
}

func value(t *testing.T, store dotterelusher.Store, key string) string {
	e, err := store.Get(t.Context(), key)
	require.NoError(t, err)
	return string(e.Value)
}

func TestCommitTakesEffectOnce(t *testing.T) {
	tests := map[string]func(s *lateStore){
		"answered":                     func(*lateStore) {},
		"carried out, the answer lost": func(s *lateStore) { s.LoseAnswers(1) },
		"carried out late":             func(s *lateStore) { s.keep = true },
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			clock := dotterclock.NewSystem()
			store := &lateStore{Store: dottermemory.New(clock)}
			c := owner(t, store, clock, "a1")
			disturb(store)
			require.NoError(t, c.Commit(t.Context(), put("K", "first"), nil))
			require.NoError(t, c.Commit(t.Context(), put("K", "second"), nil))
			for _, late := range store.kept {
				_, _, err := store.Store.Commit(t.Context(), late)
				assert.ErrorIs(t, err, dotterelusher.ErrStoreConflict)
			}
			assert.Equal(t, "second", value(t, store, "K"))
		})
	}
}

func TestReplacedOwnerCannotCommit(t *testing.T) {
	clock := dotterclock.NewSystem()
	store := dottermemory.New(clock)
	former := owner(t, store, clock, "a1")
	require.NoError(t, former.Commit(t.Context(), put("K", "former"), nil))
	successor := owner(t, store, clock, "b1")
	assert.Greater(t, successor.Epoch(), former.Epoch())
	assert.ErrorIs(t, former.Commit(t.Context(), put("K", "too late"), nil), ErrDeposed)
	assert.Equal(t, "former", value(t, store, "K"))
	assert.ErrorIs(t, former.Release(t.Context()), ErrDeposed)
}

func TestSuccessorKnowsHowLongItsPredecessorMayAct(t *testing.T) {
	tests := map[string]struct {
		release bool
		stood   dotterclock.Millis // how long the successor has seen the head stand still
		want    dotterclock.Millis // from the takeover
	}{
		"it has let go":          {release: true, stood: 100, want: 0},
		"it may act":             {stood: 1200, want: StaleSpan - 1200},
		"it must be silent long": {stood: StaleSpan + 1000, want: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			clock := dotterclock.NewManual(1_000_000)
			store := dottermemory.New(clock)
			former := owner(t, store, clock, "a1")
			if tc.release {
				require.NoError(t, former.Release(t.Context()))
			}
			k := newKeeper(store, clock, "b1", false)
			k.look(t.Context())
			clock.Advance(tc.stood)
			k.look(t.Context())
			c := k.takeOver(t.Context())
			require.NotNil(t, c)
			assert.Equal(t, tc.want, c.PredecessorExpiry()-clock.Now())
		})
	}
}

func TestKeeperTakesOverAHeadThatStandsStill(t *testing.T) {
	tests := map[string]struct {
		weak, suspect, commits, away bool
		span                         dotterclock.Millis
		want                         bool
	}{
		"too early":                       {span: patience - 100},
		"after its patience":              {span: patience + 100, want: true},
		"a weak host is not due yet":      {weak: true, span: patience + 100},
		"a weak host after all":           {weak: true, span: patience + weakPatience + 100, want: true},
		"sooner when the owner refuses":   {suspect: true, span: hastyPatience + 100, want: true},
		"never while the owner commits":   {commits: true, span: 10 * patience},
		"never while the store is silent": {away: true, span: 10 * patience},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			clock := dotterclock.NewManual(1_000_000)
			store := dottermemory.New(clock)
			former := owner(t, store, clock, "a1")
			k := newKeeper(store, clock, "b1", tc.weak)
			k.look(t.Context())
			if tc.suspect {
				k.Suspect("a1")
			}
			store.SetDown(tc.away)
			for end := clock.Now() + tc.span; clock.Now() < end; {
				clock.Advance(100)
				if tc.commits {
					require.NoError(t, former.Commit(t.Context(), nil, nil))
				}
				k.look(t.Context())
			}
			assert.Equal(t, tc.want, k.due())
		})
	}
}

// idle is an owner that does nothing.
type idle struct{ owned chan int64 }

func (o idle) Own(ctx context.Context, c *Committer) error {
	o.owned <- c.Epoch()
	<-ctx.Done()
	return nil
}

func TestReleasedShardIsTakenOverAtOnce(t *testing.T) {
	clock := dotterclock.NewSystem()
	store := dottermemory.New(clock)
	first, second := idle{make(chan int64, 1)}, idle{make(chan int64, 1)}
	ctx, cancel := context.WithCancel(t.Context())
	go newKeeper(store, clock, "a1", false).Run(ctx, first)
	assert.EqualValues(t, 1, <-first.owned)
	go newKeeper(store, clock, "b1", false).Run(t.Context(), second)
	cancel()
	select {
	case epoch := <-second.owned:
		assert.EqualValues(t, 2, epoch)
	case <-time.After(5 * time.Second):
		t.Fatal("nobody took the shard over")
	}
}

// TestTakeoverIsDueInTime: hosts that look at the head as often as they pause find out
// in time that it stands still; weak ones, most of a large site, read it less.
func TestTakeoverIsDueInTime(t *testing.T) {
	tests := map[string]struct {
		weak   bool
		most   dotterclock.Millis // from the owner's last beat to the takeover
		perSec float64            // reads of the head a second, while the owner is well
	}{
		"strong host": {most: patience + pollSpan, perSec: 2.5},
		"weak host":   {weak: true, most: patience + weakPatience + weakPollSpan, perSec: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			clock := dotterclock.NewManual(1_000_000)
			store := dottermemory.New(clock)
			former := owner(t, store, clock, "a1")
			k := newKeeper(store, clock, "b1", tc.weak)
			reads := 0
			look := func() {
				k.look(t.Context())
				reads++
				clock.Advance(k.pause())
			}
			for end := clock.Now() + 10_000; clock.Now() < end; {
				require.NoError(t, former.Commit(t.Context(), nil, nil))
				look()
				require.False(t, k.due())
			}
			assert.LessOrEqual(t, float64(reads)/10, tc.perSec)
			beat := clock.Now()
			require.NoError(t, former.Commit(t.Context(), nil, nil))
			k.look(t.Context())
			for !k.due() {
				clock.Advance(k.pause())
				k.look(t.Context())
			}
			assert.LessOrEqual(t, clock.Now()-beat, tc.most)
		})
	}
}
