package dotterclock

import "sync"

// Manual is a clock for tests that advances only when Advance is called.
type Manual struct {
	mu      sync.Mutex
	now     Millis
	waiters []waiter
}

// waiter is a pending call of After.
type waiter struct {
	due   Millis
	fired chan Millis
}

// NewManual returns a clock whose current time is now.
func NewManual(now Millis) *Manual {
	return &Manual{now: now}
}

// Now returns the current time of the clock.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that receives the current time once the clock has advanced by duration.
func (m *Manual) After(duration Millis) <-chan Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	fired := make(chan Millis, 1)
	if duration <= 0 {
		fired <- m.now
		return fired
	}
	m.waiters = append(m.waiters, waiter{due: m.now + duration, fired: fired})
	return fired
}

// Advance advances the clock by duration and fires the channels that have become due.
func (m *Manual) Advance(duration Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += duration
	var pending []waiter
	for _, w := range m.waiters {
		if w.due > m.now {
			pending = append(pending, w)
			continue
		}
		w.fired <- m.now
	}
	m.waiters = pending
}
