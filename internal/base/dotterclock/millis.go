package dotterclock

import "time"

// Millis is a point in time, in milliseconds since the Unix epoch, or a duration in milliseconds.
type Millis int64

// Units of Millis.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
)

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Seconds returns the duration m in seconds.
func (m Millis) Seconds() float64 {
	return float64(m) / float64(Second)
}

// FromDuration returns d in Millis, rounded up so that a positive duration stays positive.
func FromDuration(d time.Duration) Millis {
	return Millis((d + time.Millisecond - 1) / time.Millisecond)
}
