package dottertruth

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// ViolationKind identifies the guarantee that was violated.
type ViolationKind string

// The kinds of violations.
const (
	ViolationTwoAttempts ViolationKind = "TwoAttempts" // two attempts of a task ran concurrently
	ViolationRoom        ViolationKind = "Room"        // a worker held more than its capacity
	ViolationSlots       ViolationKind = "Slots"       // a backend server had more requests than slots
	ViolationConnections ViolationKind = "Connections" // a backend server had more connections than its limit
)

// Violation is one recorded violation of a guarantee.
type Violation struct {
	At      dotterclock.Millis
	Kind    ViolationKind
	Subject string // host or task
	Detail  string
}
