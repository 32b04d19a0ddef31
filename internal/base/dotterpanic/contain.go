package dotterpanic

import (
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"
)

// Error is a panic that was contained.
type Error struct {
	Value any    // that the code panicked with
	Stack string // of the goroutine that panicked
}

// Error returns the value.
func (e *Error) Error() string {
	return fmt.Sprintf("panic: %v", e.Value)
}

// Fields returns more with the log fields that describe the panic.
func (e *Error) Fields(more ...zap.Field) []zap.Field {
	return append(more, zap.Error(e), zap.String("Stack", e.Stack))
}

// Contain calls f, and returns an Error if f panics, or else nil. Locks that f holds must be
// released by deferred calls.
func Contain(f func()) (contained *Error) {
	defer func() {
		if v := recover(); v != nil {
			contained = &Error{Value: v, Stack: string(debug.Stack())}
		}
	}()
	f()
	return nil
}
