package dottertruth

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Truth is all that the recorder knows but for the executions of requests.
type Truth struct {
	Now        dotterclock.Millis
	Since      dotterclock.Millis // start of the recording, or the last reset
	Backends   []Backend
	Workers    []Worker
	Runs       []Run // in order of their starts
	Violations []Violation
	Store      Calls
}

// Paths of the truth.
const (
	PathTruth      = "/truth"
	PathExecutions = "/truth/executions"
	PathReset      = "/truth/reset"
)
