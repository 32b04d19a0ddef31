package dotterplan

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// State is the input of a Placer: one shard's queue and workers.
type State struct {
	Now           dotterclock.Millis
	Configuration dotterconfig.Document
	Queue         []dottertask.Task // queued tasks in order of submission
	Workers       []Worker
	TeamUse       map[string]dotterroom.Room // resources that each team holds in the whole pool, as last reported
	Pool          dotterroom.Room            // capacity of the whole pool, as last reported
}

// Worker is a worker with the attempts that hold resources on it.
type Worker struct {
	Host    dotterhost.Host
	Holders []Holder
	Usable  bool // whether new attempts may be placed: the host is live, reachable and not draining
}

// Holder is an attempt that holds resources on a worker: it is running, assigned, or its
// outcome is unknown.
type Holder struct {
	Task            dottertask.Task
	Size            dotterroom.Room    // the larger of the declared and the learned size
	StartedAt       dotterclock.Millis // zero until the start is confirmed
	ThrottlePercent int                // limit on its processor time in percent; 0 means no limit
}

// Free returns the capacity of w less the sizes of its holders.
func (w Worker) Free() dotterroom.Room {
	free := w.Host.Capacity
	for _, h := range w.Holders {
		free = free.Sub(h.Size)
	}
	return free
}
