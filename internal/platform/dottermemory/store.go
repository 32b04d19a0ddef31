package dottermemory

import (
	"context"
	"fmt"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// WatchTimeout is how long Watch waits for a change before it returns without one.
const WatchTimeout = 10 * dotterclock.Second

var _ dotterelusher.TransactionalStore = (*Store)(nil)

// Store is an in-memory key-value store with fault injection.
type Store struct {
	clock dotterelusher.Clock

	mu      sync.Mutex
	content snapshot
	records map[string]record
	log     changeLog
	leases  map[dotterkey.LeaseID]*lease
	granted int // number of leases granted so far
	changed chan struct{}

	down          bool
	writesDown    bool
	silent        bool
	answersToLose int       // number of writes whose answers are still to be lost
	stale         *snapshot // content that reads see; nil for the current content
}

// New returns an empty store whose leases expire by clock.
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
	if err := s.prepareCall(); err != nil {
		return dotterkey.Entry{}, err
	}
	entry, ok := s.readView().entries[key]
	if !ok {
		return dotterkey.Entry{}, dotterelusher.ErrStoreNotFound
	}
	return entry, nil
}

// List returns the entries whose keys start with prefix, and the store's revision.
func (s *Store) List(_ context.Context, prefix string) ([]dotterkey.Entry, dotterkey.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.prepareCall(); err != nil {
		return nil, 0, err
	}
	view := s.readView()
	return view.list(prefix), view.revision, nil
}

// Put writes value under key if the key is at version expect; see dotterelusher.Store.
func (s *Store) Put(_ context.Context, key string, value []byte, expect dotterkey.Version, leaseID dotterkey.LeaseID) (dotterkey.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.prepareWrite(); err != nil {
		return 0, err
	}
	if s.content.entries[key].Version != expect {
		return 0, dotterelusher.ErrStoreConflict
	}
	if leaseID != "" && s.leases[leaseID] == nil {
		return 0, dotterelusher.ErrStoreLeaseExpired
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
	if err := s.prepareWrite(); err != nil {
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

// Commit executes the transaction; see dotterelusher.TransactionalStore.
func (s *Store) Commit(_ context.Context, t dotterkey.Transaction) (dotterkey.Revision, []dotterkey.Entry, error) {
	if err := t.Check(); err != nil {
		return 0, nil, eris.Wrap(dotterelusher.ErrStoreInvalid, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.prepareWrite(); err != nil {
		return 0, nil, err
	}
	if !s.expectationsHold(t) {
		return 0, s.currentEntries(t), dotterelusher.ErrStoreConflict
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
		s.setVersion(e.Key, dotterkey.Version(s.content.revision))
	}
	if s.loseAnswer() {
		return 0, nil, dotterelusher.ErrStoreIndeterminate
	}
	return s.content.revision, nil, nil
}

// setVersion sets the version of key to the one that all keys of a transaction share.
// The caller must hold mu.
func (s *Store) setVersion(key string, version dotterkey.Version) {
	entry := s.content.entries[key]
	entry.Version = version
	s.content.entries[key] = entry
	r := s.records[key]
	r.entry.Version = version
	s.records[key] = r
}

// expectationsHold reports whether every key in t.Expect has the expected version. The
// caller must hold mu.
func (s *Store) expectationsHold(t dotterkey.Transaction) bool {
	for key, version := range t.Expect {
		if s.content.entries[key].Version != version {
			return false
		}
	}
	return true
}

// currentEntries returns the entries of those keys in t.Expect that exist. The caller
// must hold mu.
func (s *Store) currentEntries(t dotterkey.Transaction) []dotterkey.Entry {
	var current []dotterkey.Entry
	for key := range t.Expect {
		if e, ok := s.content.entries[key]; ok {
			current = append(current, e)
		}
	}
	return current
}

// Watch waits for changes under prefix after the revision; see dotterelusher.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after dotterkey.Revision) (dotterkey.Changes, error) {
	return s.WatchFor(ctx, prefix, after, WatchTimeout)
}

// WatchFor waits at most timeout for changes; see dotterelusher.TransactionalStore.
func (s *Store) WatchFor(ctx context.Context, prefix string, after dotterkey.Revision, timeout dotterclock.Millis) (dotterkey.Changes, error) {
	end := s.clock.After(timeout)
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
		case <-s.clock.After(s.untilNextExpiry()):
		}
	}
}

// Grant creates a lease that expires unless it is renewed within ttl.
func (s *Store) Grant(_ context.Context, ttl dotterclock.Millis) (dotterkey.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.prepareCall(); err != nil {
		return "", err
	}
	s.granted++
	id := dotterkey.LeaseID(fmt.Sprintf("lease-%d", s.granted))
	s.leases[id] = &lease{ttl: ttl, expiresAt: s.clock.Now() + ttl, keys: map[string]bool{}}
	if s.loseAnswer() {
		return "", dotterelusher.ErrStoreIndeterminate
	}
	return id, nil
}

// Renew extends the lease by its full TTL, or returns ErrStoreLeaseExpired.
func (s *Store) Renew(_ context.Context, id dotterkey.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.prepareCall(); err != nil {
		return err
	}
	l, ok := s.leases[id]
	if !ok {
		return dotterelusher.ErrStoreLeaseExpired
	}
	l.expiresAt = s.clock.Now() + l.ttl
	if s.loseAnswer() {
		return dotterelusher.ErrStoreIndeterminate
	}
	return nil
}

// Revoke ends the lease and deletes its keys.
func (s *Store) Revoke(_ context.Context, id dotterkey.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.prepareCall(); err != nil {
		return err
	}
	if _, ok := s.leases[id]; !ok {
		return dotterelusher.ErrStoreLeaseExpired
	}
	s.endLease(id)
	if s.loseAnswer() {
		return dotterelusher.ErrStoreIndeterminate
	}
	return nil
}
