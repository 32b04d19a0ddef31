package dotterconnection

import (
	"github.com/dotterelusher/dotterelusher"
)

// LostError tells that a request was sent and no whole answer received.
type LostError struct {
	Cause    error
	TimedOut bool            // the deadline passed or the caller went away
	SlotFree <-chan struct{} // closed when the server's slot is to be counted as free
}

var _ error = (*LostError)(nil)

// Error describes the loss.
func (l *LostError) Error() string {
	return dotterelusher.ErrBackendIndeterminate.Error() + ": " + l.Cause.Error()
}

// Is reports whether target is ErrBackendIndeterminate.
func (l *LostError) Is(target error) bool {
	return target == dotterelusher.ErrBackendIndeterminate
}

// Unwrap returns the cause.
func (l *LostError) Unwrap() error {
	return l.Cause
}
