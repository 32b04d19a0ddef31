package dotterclock

import "time"

// System is the process's clock: the wall time at its creation plus the monotonic
// time elapsed since.
type System struct {
	start time.Time
}

// NewSystem returns a clock that starts at the current wall time.
func NewSystem() *System {
	return &System{start: time.Now()}
}

// Now returns the current time, which never decreases.
func (s *System) Now() Millis {
	elapsed := time.Since(s.start)
	return Millis(s.start.UnixMilli()) + Millis(elapsed/time.Millisecond)
}

// After returns a channel that receives the current time once duration has passed.
func (s *System) After(duration Millis) <-chan Millis {
	fired := make(chan Millis, 1)
	time.AfterFunc(duration.Duration(), func() { fired <- s.Now() })
	return fired
}
