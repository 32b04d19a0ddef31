package dotterworker

import (
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Worker is a worker as listed in the platform's directory.
type Worker struct {
	ID            string
	Address       string // IP:port
	FailureDomain string
	Rack          string
	Service       string             // service, i.e. pool of workers, that it belongs to
	Draining      bool               // whether it is about to leave and gets no new tasks
	Remaining     dotterclock.Millis // for a draining worker, the minimum time until it leaves
	StartedAt     dotterclock.Millis // start time of its current incarnation; 0 if not reported
	Capacity      dotterroom.Room
	Labels        []string
}

// HasLabel reports whether the worker has the label. It is true for the empty label.
func (w Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}
