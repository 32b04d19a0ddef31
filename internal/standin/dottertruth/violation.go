package dottertruth

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// ViolationKind names a promise that was broken.
type ViolationKind string

// The kinds of violations.
const (
	ViolationTwoAttempts ViolationKind = "TwoAttempts" // two attempts of a task ran at once
	ViolationRoom        ViolationKind = "Room"        // a worker held more than its capacity
	ViolationSlots       ViolationKind = "Slots"       // a backend server had more requests than slots
	ViolationConnections ViolationKind = "Connections" // a backend server had more connections than its limit
)

// Violation is one moment at which a promise was broken.
type Violation struct {
	At      dotterclock.Millis
	Kind    ViolationKind
	Subject string // host or task
	Detail  string
}
