package dotterservice

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Settings limits the queue of each service.
type Settings struct {
	QueueItems      int                // maximum number of queued requests
	QueueWaitMillis dotterclock.Millis // longest time that a request waits for a slot
}
