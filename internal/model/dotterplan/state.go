package dotterplan

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// State is what a Placer decides on: one shard's queue and workers.
type State struct {
	Now           dotterclock.Millis
	Configuration dotterconfig.Document
	Queue         []dottertask.Task // queued tasks in order of submission
	Workers       []Worker
	TeamUse       map[string]dotterroom.Room // room that each team holds in the whole pool, as last reported
	Pool          dotterroom.Room            // capacity of the whole pool, as last reported
}

// Worker is one worker with what holds room on it.
type Worker struct {
	Host    dotterhost.Host
	Holders []Holder
	Usable  bool // whether new attempts may be placed: live, reachable, not drained
}

// Holder is an attempt that holds room: running, assigned, or of unknown outcome.
type Holder struct {
	Task            dottertask.Task
	Size            dotterroom.Room    // the larger of declared and learned
	StartedAt       dotterclock.Millis // zero until the start is confirmed
	ThrottlePercent int                // percent of processor time that it is limited to; 0 means none
}

// Free returns the room of w that nothing holds.
func (w Worker) Free() dotterroom.Room {
	free := w.Host.Capacity
	for _, h := range w.Holders {
		free = free.Sub(h.Size)
	}
	return free
}
