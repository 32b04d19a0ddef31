package dottermemory

import "maps"

// SetDown switches an outage: every call fails with ErrStoreUnavailable and takes no effect.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.broadcast()
}

// LoseAnswers makes the next count writes take effect and return ErrStoreIndeterminate.
func (s *Store) LoseAnswers(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = count
}

// SetStale makes Get and List answer from the content at this moment until it is lifted.
func (s *Store) SetStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
	if stale {
		s.stale = &snapshot{entries: maps.Clone(s.content.entries), revision: s.content.revision}
	}
}

// SetSilent makes watches wait for their full time and report no change until it is lifted.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.broadcast()
}

// loseAnswer reports whether the answer of the write just made gets lost. The caller holds mu.
func (s *Store) loseAnswer() bool {
	if s.lost == 0 {
		return false
	}
	s.lost--
	return true
}
