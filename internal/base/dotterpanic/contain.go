package dotterpanic

import (
	"fmt"
	"runtime/debug"
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

// Contain calls f, and returns an *Error if f panics. Locks that f holds must be released by
// deferred calls.
func Contain(f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &Error{Value: v, Stack: string(debug.Stack())}
		}
	}()
	f()
	return nil
}
