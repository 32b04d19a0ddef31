package dotterservice

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Settings bounds the queue of each service.
type Settings struct {
	QueueItems      int                // requests that wait at a time
	QueueWaitMillis dotterclock.Millis // longest wait for a slot
}
