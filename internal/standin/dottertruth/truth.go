package dottertruth

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Truth is a snapshot of all records except the executions of requests.
type Truth struct {
	Now        dotterclock.Millis
	Since      dotterclock.Millis // start of the recording or last reset
	Backends   []Backend
	Workers    []Worker
	Runs       []Run // in start order
	Violations []Violation
	Store      Calls
}

// Paths that serve and reset the records.
const (
	PathTruth      = "/truth"
	PathExecutions = "/truth/executions"
	PathReset      = "/truth/reset"
)
