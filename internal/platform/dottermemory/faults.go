package dottermemory

import "maps"

// SetDown starts or ends an outage, during which every call has no effect and returns
// ErrStoreUnavailable.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.broadcast()
}

// SetWritesDown is like SetDown for calls that write.
func (s *Store) SetWritesDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writesDown = down
}

// LoseAnswers makes the next count writes take effect and return ErrStoreIndeterminate.
func (s *Store) LoseAnswers(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = count
}

// SetStale with true makes Get and List return the content at the time of the call until
// SetStale is called with false.
func (s *Store) SetStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
	if stale {
		s.stale = &snapshot{entries: maps.Clone(s.content.entries), revision: s.content.revision}
	}
}

// SetSilent with true makes watches wait for their full time and report no changes until
// SetSilent is called with false.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.broadcast()
}

// loseAnswer reports whether the answer of the current write is to be lost, and counts
// it. The caller must hold mu.
func (s *Store) loseAnswer() bool {
	if s.answersToLose == 0 {
		return false
	}
	s.answersToLose--
	return true
}
