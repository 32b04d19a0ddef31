package dotterelusher

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Clock tells the time in milliseconds.
type Clock interface {
	// Now returns the current instant; it never goes backwards.
	Now() dotterclock.Millis

	// After returns a channel that receives one instant once span has passed.
	After(span dotterclock.Millis) <-chan dotterclock.Millis
}

var (
	_ Clock = (*dotterclock.System)(nil)
	_ Clock = (*dotterclock.Manual)(nil)
)
