package dotterworker

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// ClockReading is an instant on the steady clock of a worker.
type ClockReading struct {
	Worker    string             // its ID
	StartedAt dotterclock.Millis // start time of the incarnation whose clock it is
	Clock     dotterclock.Millis
}
