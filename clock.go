package dotterelusher

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Clock provides the current time and timers, in milliseconds.
type Clock interface {
	// Now returns the current time, which never decreases.
	Now() dotterclock.Millis

	// After returns a channel that receives the current time once duration has passed.
	After(duration dotterclock.Millis) <-chan dotterclock.Millis
}

var (
	_ Clock = (*dotterclock.System)(nil)
	_ Clock = (*dotterclock.Manual)(nil)
)
