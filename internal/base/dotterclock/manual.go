package dotterclock

import "sync"

// Manual is a clock that moves only when Advance is called.
type Manual struct {
	mu      sync.Mutex
	now     Millis
	waiters []waiter
}

type waiter struct {
	at    Millis
	fired chan Millis
}

// NewManual returns a clock that stands at now.
func NewManual(now Millis) *Manual {
	return &Manual{now: now}
}

// Now returns the instant at which the clock stands.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that receives one instant once the clock has moved by span.
func (m *Manual) After(span Millis) <-chan Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	fired := make(chan Millis, 1)
	if span <= 0 {
		fired <- m.now
		return fired
	}
	m.waiters = append(m.waiters, waiter{at: m.now + span, fired: fired})
	return fired
}

// Advance moves the clock by span and fires every waiter that has become due.
func (m *Manual) Advance(span Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += span
	var later []waiter
	for _, w := range m.waiters {
		if w.at > m.now {
			later = append(later, w)
			continue
		}
		w.fired <- m.now
	}
	m.waiters = later
}
