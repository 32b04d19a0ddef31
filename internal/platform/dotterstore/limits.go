package dotterstore

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Limits are the rate limits and timeouts of one process's calls to the store.
type Limits struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	Burst           int                // maximum burst of reads, and of writes
	Timeout         dotterclock.Millis // timeout of every call except Watch
	WatchTimeout    dotterclock.Millis // timeout of Watch; must exceed the platform's limit on the wait of a watch
}

// DefaultLimits returns the limits of a process that configures none.
func DefaultLimits() Limits {
	return Limits{
		ReadsPerSecond:  100,
		WritesPerSecond: 40,
		Burst:           40,
		Timeout:         2 * dotterclock.Second,
		WatchTimeout:    15 * dotterclock.Second,
	}
}
