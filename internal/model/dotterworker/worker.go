package dotterworker

import (
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Worker is one worker.
type Worker struct {
	ID            string
	Address       string // IP:port
	FailureDomain string
	Rack          string
	Service       string             // pool of workers that it belongs to
	Draining      bool               // it leaves soon and gets no new task
	Remaining     dotterclock.Millis // of a draining worker: the least time that is left
	Born          dotterclock.Millis // start of its present life; 0: not told
	Capacity      dotterroom.Room
	Labels        []string
}

// HasLabel reports whether the worker has the label; every worker has the empty one.
func (w Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}
