package dotterstore

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Limits bounds what one process asks of the store.
type Limits struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	Burst           int                // calls of a kind that may go at once
	Timeout         dotterclock.Millis // of every call but a watch
	WatchTimeout    dotterclock.Millis // longer than the platform's bound on watches
}

// DefaultLimits returns the limits of a process that sets none.
func DefaultLimits() Limits {
	return Limits{
		ReadsPerSecond:  100,
		WritesPerSecond: 40,
		Burst:           40,
		Timeout:         2 * dotterclock.Second,
		WatchTimeout:    15 * dotterclock.Second,
	}
}
