package dotterblame

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// task is where one task failed.
type task struct {
	workers []string // one entry for each failed attempt
	at      dotterclock.Millis
}
