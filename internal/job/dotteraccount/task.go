package dotteraccount

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// phase is what a task spends its time on.
type phase int8

const (
	waiting  phase = iota // for a worker
	starting              // has a worker; its run is not known to be at work
	running
)

// Task is the part of an account that belongs to one task. Its zero value is a task that has
// not waited yet.
type Task struct {
	phase   phase
	runs    int
	since   dotterclock.Millis // beginning of the phase; 0 before the first run
	readyAt dotterclock.Millis // when the account first saw the task ready; 0: not yet
	waited  dotterclock.Millis // without a run at work
}
