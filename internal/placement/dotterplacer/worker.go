package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// worker is one worker within a round.
type worker struct {
	host        dotterhost.Host
	holders     []dotterplan.Holder
	usable      bool
	quarantined bool            // usable but for a quarantine
	probeOnly   bool            // quarantined, and due for one task
	startsLeft  int             // starts that may still be made before one is confirmed
	free        dotterroom.Room // room that nothing holds
	claimed     dotterroom.Room // room promised to urgent tasks, free or becoming free
	reservation *reservation
	groups      []group
}

// group is the tasks of one template on a worker.
type group struct {
	template int     // in effects
	weight   float64 // number of tasks, each by the processor share that it is throttled to
	critical int     // latency-critical ones
	batch    int
	cores    float64 // that the batch ones hold
	target   float64 // slowdown wanted of the latency-critical ones
	slowdown float64 // predicted; with caution for latency-critical ones
}

// reservation is room that a task which has waited long gets at an instant.
type reservation struct {
	task     dottertask.ID
	at       dotterclock.Millis
	leftover dotterroom.Room // room left at that instant beside the task
}

// group returns the group of id, making it if there is none.
func (w *worker) group(id int) *group {
	for i := range w.groups {
		if w.groups[i].template == id {
			return &w.groups[i]
		}
	}
	w.groups = append(w.groups, group{template: id})
	return &w.groups[len(w.groups)-1]
}

// allocate takes size out of the free room.
func (w *worker) allocate(size dotterroom.Room) {
	w.free = w.free.Sub(size)
}

// load returns the dominant share of w that is in use.
func (w *worker) load() float64 {
	return w.host.Capacity.Sub(w.free).DominantShare(w.host.Capacity)
}
