package dotterreplica

import (
	"context"
	"sync"
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

// compacted is a store that forgets its history once told so.
type compacted struct {
	*dottermemory.Store
	mu     sync.Mutex
	oldest dotterkey.Revision // changes after it are kept
	deaf   bool               // watches hear nothing and say that they are up to date
}

func (s *compacted) setDeaf(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
}

func (s *compacted) compact(t *testing.T) {
	_, revision, err := s.List(t.Context(), "")
	require.NoError(t, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = revision
}

func (s *compacted) WatchFor(ctx context.Context, prefix string, after dotterkey.Revision, span dotterclock.Millis) (dotterkey.Changes, error) {
	s.mu.Lock()
	gone, deaf := after < s.oldest, s.deaf
	s.mu.Unlock()
	if deaf {
		time.Sleep(span.Duration())
		_, revision, err := s.List(ctx, "")
		return dotterkey.Changes{Revision: revision}, err
	}
	if gone {
		return dotterkey.Changes{}, dotterelusher.ErrStoreCompacted
	}
	return s.Store.WatchFor(ctx, prefix, after, span)
}

// mirror is a sink that keeps what it sees.
type mirror struct {
	mu     sync.Mutex
	values map[string]string
}

func (m *mirror) Reset(entries []dotterkey.Entry) {
	m.mu.Lock()
	m.values = map[string]string{}
	m.mu.Unlock()
	m.Change(dotterkey.Changes{Entries: entries})
}

func (m *mirror) Change(c dotterkey.Changes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range c.Entries {
		m.values[e.Key] = string(e.Value)
	}
	for _, key := range c.Deleted {
		delete(m.values, key)
	}
}

func (m *mirror) get(key string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values[key]
}

func TestReplicaSeesEveryChange(t *testing.T) {
	tests := map[string]func(t *testing.T, s *compacted, write func(string)){
		"a change": func(_ *testing.T, _ *compacted, write func(string)) { write("new") },
		"made while watches hear nothing, then the history goes": func(t *testing.T, s *compacted, write func(string)) {
			s.setDeaf(true)
			time.Sleep(100 * time.Millisecond) // the watch that is under way still hears
			write("new")
			time.Sleep(200 * time.Millisecond) // some waits, which hear nothing
			s.setDeaf(false)
			s.compact(t)
		},
		"made in an outage": func(_ *testing.T, s *compacted, write func(string)) {
			write("new")
			s.SetDown(true)
			time.Sleep(100 * time.Millisecond)
			s.SetDown(false)
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			clock := dotterclock.NewSystem()
			s := &compacted{Store: dottermemory.New(clock)}
			version, err := s.Put(t.Context(), "P/K", []byte("old"), 0, "")
			require.NoError(t, err)
			m := &mirror{}
			r := New(s, clock, zap.NewNop(), "P/", 50, m)
			go func() { _ = r.Run(t.Context()) }()
			require.Eventually(t, func() bool { return m.get("P/K") == "old" }, 5*time.Second, time.Millisecond)
			disturb(t, s, func(value string) {
				_, err := s.Put(t.Context(), "P/K", []byte(value), version, "")
				require.NoError(t, err)
			})
			assert.Eventually(t, func() bool { return m.get("P/K") == "new" }, 5*time.Second, time.Millisecond)
			assert.Positive(t, r.FreshAt())
		})
	}
}

// TestAgeOfWhatWasNeverThere: a replica that never heard from the store says so, instead
// of an age since some distant instant.
func TestAgeOfWhatWasNeverThere(t *testing.T) {
	clock := dotterclock.NewManual(1_000_000)
	r := New(dottermemory.New(clock), clock, zap.NewNop(), "K/", 1000, &mirror{})
	assert.Equal(t, dotterclock.Millis(-1), r.age())
	r.answered(clock.Now())
	clock.Advance(300)
	assert.Equal(t, dotterclock.Millis(300), r.age())
}
