package dottermemory

import (
	"bytes"
	"sort"
	"strings"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// prepareCall expires the leases that are due and returns ErrStoreUnavailable during an
// outage. Every call of the store starts with it. The caller must hold mu.
func (s *Store) prepareCall() error {
	s.expireLeases()
	if s.down {
		return dotterelusher.ErrStoreUnavailable
	}
	return nil
}

// prepareWrite is prepareCall for a call that writes. The caller must hold mu.
func (s *Store) prepareWrite() error {
	if err := s.prepareCall(); err != nil || !s.writesDown {
		return err
	}
	return dotterelusher.ErrStoreUnavailable
}

// readView returns the content that reads see. The caller must hold mu.
func (s *Store) readView() snapshot {
	if s.stale != nil {
		return *s.stale
	}
	return s.content
}

// write sets key to value and returns its new version. The caller must hold mu.
func (s *Store) write(key string, value []byte, leaseID dotterkey.LeaseID) dotterkey.Version {
	s.detachLease(key)
	revision := s.nextRevision(key)
	entry := dotterkey.Entry{Key: key, Value: bytes.Clone(value), Version: dotterkey.Version(revision), Lease: leaseID}
	s.content.entries[key] = entry
	s.records[key] = record{entry: entry, revision: revision}
	if leaseID != "" {
		s.leases[leaseID].keys[key] = true
	}
	return entry.Version
}

// remove deletes key. The caller must hold mu.
func (s *Store) remove(key string) {
	s.detachLease(key)
	revision := s.nextRevision(key)
	delete(s.content.entries, key)
	s.records[key] = record{entry: dotterkey.Entry{Key: key}, deleted: true, revision: revision}
}

// detachLease removes key from its lease, if it has one. The caller must hold mu.
func (s *Store) detachLease(key string) {
	l, ok := s.leases[s.content.entries[key].Lease]
	if ok {
		delete(l.keys, key)
	}
}

// nextRevision increments the revision and records in the change log that key changed
// at it. The caller must hold mu.
func (s *Store) nextRevision(key string) dotterkey.Revision {
	s.content.revision++
	s.log.add(s.content.revision, key)
	s.broadcast()
	return s.content.revision
}

// broadcast wakes all watches. The caller must hold mu.
func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends every lease that has expired. The caller must hold mu.
func (s *Store) expireLeases() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if l.expiresAt <= now {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and deletes its keys. The caller must hold mu.
func (s *Store) endLease(id dotterkey.LeaseID) {
	for k := range s.leases[id].keys {
		s.remove(k)
	}
	delete(s.leases, id)
}

// untilNextExpiry returns the time until the next lease may expire, at least 1 ms and
// at most WatchTimeout.
func (s *Store) untilNextExpiry() dotterclock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := WatchTimeout
	now := s.clock.Now()
	for _, l := range s.leases {
		next = min(next, l.expiresAt-now)
	}
	return max(next, 1)
}

// poll returns the changes that a watch sees now and a channel that is closed at the
// next change.
func (s *Store) poll(prefix string, after dotterkey.Revision) (dotterkey.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.prepareCall(); err != nil {
		return dotterkey.Changes{}, nil, err
	}
	if s.silent {
		return dotterkey.Changes{Revision: after}, s.changed, nil
	}
	return s.changesSince(prefix, after), s.changed, nil
}

// changesSince returns the latest change of each key under prefix since the revision
// after. The caller must hold mu.
func (s *Store) changesSince(prefix string, after dotterkey.Revision) dotterkey.Changes {
	changes := dotterkey.Changes{Revision: s.content.revision}
	keys, complete := s.log.since(after)
	if complete {
		for k := range keys {
			changes = appendChange(changes, s.records[k], prefix, after)
		}
	} else {
		for _, r := range s.records {
			changes = appendChange(changes, r, prefix, after)
		}
	}
	sort.Slice(changes.Entries, func(i, j int) bool { return changes.Entries[i].Version < changes.Entries[j].Version })
	sort.Strings(changes.Deleted)
	return changes
}

// appendChange appends r to changes if it is newer than after and its key has prefix.
func appendChange(changes dotterkey.Changes, r record, prefix string, after dotterkey.Revision) dotterkey.Changes {
	if r.revision <= after || !strings.HasPrefix(r.entry.Key, prefix) {
		return changes
	}
	if r.deleted {
		changes.Deleted = append(changes.Deleted, r.entry.Key)
		return changes
	}
	changes.Entries = append(changes.Entries, r.entry)
	return changes
}
