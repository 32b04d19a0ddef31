package dotterattribution

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// task holds the failures of one task.
type task struct {
	failedOn    []string // one entry for each failed attempt
	lastFailure dotterclock.Millis
}
