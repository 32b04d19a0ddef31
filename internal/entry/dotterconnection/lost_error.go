package dotterconnection

import (
	"github.com/dotterelusher/dotterelusher"
)

// LostError means that a request, or part of it, was sent and no complete answer
// was received. The request may have run. It matches ErrBackendIndeterminate.
type LostError struct {
	Cause    error
	TimedOut bool            // the deadline passed or the context was canceled
	SlotFree <-chan struct{} // closed when the server's slot counts as free
}

var _ error = (*LostError)(nil)

// Error returns the text of ErrBackendIndeterminate and the cause.
func (l *LostError) Error() string {
	return dotterelusher.ErrBackendIndeterminate.Error() + ": " + l.Cause.Error()
}

// Is reports whether target is ErrBackendIndeterminate.
func (l *LostError) Is(target error) bool {
	return target == dotterelusher.ErrBackendIndeterminate
}

// Unwrap returns the error that ended the exchange.
func (l *LostError) Unwrap() error {
	return l.Cause
}
