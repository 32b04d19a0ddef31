package dottermemory

import (
	"context"
	"fmt"
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// WatchSpan is how long a watch waits for a change before it returns without one.
const WatchSpan = 10 * dotterclock.Second

var _ dotterelusher.TransactionalStore = (*Store)(nil)

// Store is a key-value store in memory with switchable faults.
type Store struct {
	clock dotterelusher.Clock

	mu      sync.Mutex
	content snapshot
	records map[string]record
	log     changeLog
	leases  map[dotterkey.LeaseID]*lease
	granted int
	changed chan struct{}

	down   bool
	silent bool
	lost   int
	stale  *snapshot
}

// New returns an empty store whose leases lapse on clock.
func New(clock dotterelusher.Clock) *Store {
	return &Store{
		clock:   clock,
		content: snapshot{entries: map[string]dotterkey.Entry{}},
		records: map[string]record{},
		leases:  map[dotterkey.LeaseID]*lease{},
		changed: make(chan struct{}),
	}
}

// Get returns the entry under key, or ErrStoreNotFound.
func (s *Store) Get(_ context.Context, key string) (dotterkey.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return dotterkey.Entry{}, err
	}
	entry, ok := s.visible().entries[key]
	if !ok {
		return dotterkey.Entry{}, dotterelusher.ErrStoreNotFound
	}
	return entry, nil
}

// List returns the entries whose keys start with prefix, and the store's revision.
func (s *Store) List(_ context.Context, prefix string) ([]dotterkey.Entry, dotterkey.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return nil, 0, err
	}
	view := s.visible()
	return view.list(prefix), view.revision, nil
}

// Put writes value under key if the key is at version expect; see dotterelusher.Store.
func (s *Store) Put(_ context.Context, key string, value []byte, expect dotterkey.Version, leaseID dotterkey.LeaseID) (dotterkey.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return 0, err
	}
	if s.content.entries[key].Version != expect {
		return 0, dotterelusher.ErrStoreConflict
	}
	if leaseID != "" && s.leases[leaseID] == nil {
		return 0, dotterelusher.ErrStoreLeaseLapsed
	}
	version := s.write(key, value, leaseID)
	if s.loseAnswer() {
		return 0, dotterelusher.ErrStoreIndeterminate
	}
	return version, nil
}

// Delete removes key if it is at version expect, or returns ErrStoreConflict.
func (s *Store) Delete(_ context.Context, key string, expect dotterkey.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return err
	}
	entry, ok := s.content.entries[key]
	if !ok || entry.Version != expect {
		return dotterelusher.ErrStoreConflict
	}
	s.remove(key)
	if s.loseAnswer() {
		return dotterelusher.ErrStoreIndeterminate
	}
	return nil
}

// Commit carries the transaction out; see dotterelusher.TransactionalStore.
func (s *Store) Commit(_ context.Context, t dotterkey.Transaction) (dotterkey.Revision, []dotterkey.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return 0, nil, err
	}
	if !s.expected(t) {
		return 0, s.currentOf(t), dotterelusher.ErrStoreConflict
	}
	for _, e := range t.Puts {
		s.write(e.Key, e.Value, e.Lease)
	}
	for _, key := range t.Deletes {
		if _, ok := s.content.entries[key]; ok {
			s.remove(key)
		}
	}
	for _, e := range t.Puts {
		s.stamp(e.Key, dotterkey.Version(s.content.revision))
	}
	if s.loseAnswer() {
		return 0, nil, dotterelusher.ErrStoreIndeterminate
	}
	return s.content.revision, nil, nil
}

// stamp gives key the version that all keys of one transaction share.
func (s *Store) stamp(key string, version dotterkey.Version) {
	entry := s.content.entries[key]
	entry.Version = version
	s.content.entries[key] = entry
	r := s.records[key]
	r.entry.Version = version
	s.records[key] = r
}

func (s *Store) expected(t dotterkey.Transaction) bool {
	for key, version := range t.Expect {
		if s.content.entries[key].Version != version {
			return false
		}
	}
	return true
}

func (s *Store) currentOf(t dotterkey.Transaction) []dotterkey.Entry {
	var current []dotterkey.Entry
	for key := range t.Expect {
		if e, ok := s.content.entries[key]; ok {
			current = append(current, e)
		}
	}
	return current
}

// Watch waits for changes below prefix after the revision; see dotterelusher.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after dotterkey.Revision) (dotterkey.Changes, error) {
	return s.WatchFor(ctx, prefix, after, WatchSpan)
}

// WatchFor waits at most span for changes; see dotterelusher.TransactionalStore.
func (s *Store) WatchFor(ctx context.Context, prefix string, after dotterkey.Revision, span dotterclock.Millis) (dotterkey.Changes, error) {
	end := s.clock.After(span)
	for {
		changes, changed, err := s.poll(prefix, after)
		if err != nil || len(changes.Entries)+len(changes.Deleted) > 0 {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return dotterkey.Changes{}, dotterelusher.ErrStoreUnavailable
		case <-end:
			return changes, nil
		case <-changed:
		case <-s.clock.After(s.nextLapse()):
		}
	}
}

// Grant creates a lease that lapses unless renewed within span.
func (s *Store) Grant(_ context.Context, span dotterclock.Millis) (dotterkey.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return "", err
	}
	s.granted++
	id := dotterkey.LeaseID(fmt.Sprintf("lease-%d", s.granted))
	s.leases[id] = &lease{span: span, until: s.clock.Now() + span, keys: map[string]bool{}}
	if s.loseAnswer() {
		return "", dotterelusher.ErrStoreIndeterminate
	}
	return id, nil
}

// Renew extends the lease by its span, or returns ErrStoreLeaseLapsed.
func (s *Store) Renew(_ context.Context, id dotterkey.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return err
	}
	held, ok := s.leases[id]
	if !ok {
		return dotterelusher.ErrStoreLeaseLapsed
	}
	held.until = s.clock.Now() + held.span
	if s.loseAnswer() {
		return dotterelusher.ErrStoreIndeterminate
	}
	return nil
}

// Revoke ends the lease and removes its keys.
func (s *Store) Revoke(_ context.Context, id dotterkey.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return err
	}
	if _, ok := s.leases[id]; !ok {
		return dotterelusher.ErrStoreLeaseLapsed
	}
	s.end(id)
	if s.loseAnswer() {
		return dotterelusher.ErrStoreIndeterminate
	}
	return nil
}
