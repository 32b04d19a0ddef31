package dottermemory

import (
	"bytes"
	"sort"
	"strings"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// begin ends the leases that are due and fails in an outage. The caller holds mu.
func (s *Store) begin() error {
	s.lapse()
	if s.down {
		return dotterelusher.ErrStoreUnavailable
	}
	return nil
}

// visible returns what reads see. The caller holds mu.
func (s *Store) visible() snapshot {
	if s.stale != nil {
		return *s.stale
	}
	return s.content
}

// write sets key and returns its new version. The caller holds mu.
func (s *Store) write(key string, value []byte, leaseID dotterkey.LeaseID) dotterkey.Version {
	s.untie(key)
	revision := s.advance(key)
	entry := dotterkey.Entry{Key: key, Value: bytes.Clone(value), Version: dotterkey.Version(revision), Lease: leaseID}
	s.content.entries[key] = entry
	s.records[key] = record{entry: entry, revision: revision}
	if leaseID != "" {
		s.leases[leaseID].keys[key] = true
	}
	return entry.Version
}

// remove deletes key. The caller holds mu.
func (s *Store) remove(key string) {
	s.untie(key)
	revision := s.advance(key)
	delete(s.content.entries, key)
	s.records[key] = record{entry: dotterkey.Entry{Key: key}, deleted: true, revision: revision}
}

// untie takes key out of the lease that it is tied to. The caller holds mu.
func (s *Store) untie(key string) {
	held, ok := s.leases[s.content.entries[key].Lease]
	if ok {
		delete(held.keys, key)
	}
}

// advance starts the next revision, at which key changes. The caller holds mu.
func (s *Store) advance(key string) dotterkey.Revision {
	s.content.revision++
	s.log.add(s.content.revision, key)
	s.broadcast()
	return s.content.revision
}

// broadcast wakes every watch. The caller holds mu.
func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// lapse ends every lease that is due. The caller holds mu.
func (s *Store) lapse() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if l.until <= now {
			s.end(id)
		}
	}
}

// end removes a lease with its keys. The caller holds mu.
func (s *Store) end(id dotterkey.LeaseID) {
	for k := range s.leases[id].keys {
		s.remove(k)
	}
	delete(s.leases, id)
}

// nextLapse returns how long it is until the next lease may lapse, at least 1 ms.
func (s *Store) nextLapse() dotterclock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := WatchSpan
	now := s.clock.Now()
	for _, l := range s.leases {
		next = min(next, l.until-now)
	}
	return max(next, 1)
}

// poll returns the changes that a watch sees now, and a channel closed at the next change.
func (s *Store) poll(prefix string, after dotterkey.Revision) (dotterkey.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return dotterkey.Changes{}, nil, err
	}
	if s.silent {
		return dotterkey.Changes{Revision: after}, s.changed, nil
	}
	return s.changesSince(prefix, after), s.changed, nil
}

// changesSince collects the newest change of each key below prefix. The caller holds mu.
func (s *Store) changesSince(prefix string, after dotterkey.Revision) dotterkey.Changes {
	changes := dotterkey.Changes{Revision: s.content.revision}
	keys, listed := s.log.since(after)
	if listed {
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
