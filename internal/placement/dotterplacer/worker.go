package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// worker is the state of one worker within a round.
type worker struct {
	host        dotterhost.Host
	holders     []dotterplan.Holder
	usable      bool
	quarantined bool            // usable except for its quarantine
	probeOnly   bool            // quarantined; may get one task as a probe when usable
	startsLeft  int             // starts that may still be made before one is confirmed
	free        dotterroom.Room // room held by nothing
	groups      []group
}

// group holds the tasks of one template on a worker.
type group struct {
	template int     // index in effects
	weight   float64 // number of tasks, each weighted by the processor share left by its throttle
	critical int     // number of latency-critical tasks
	batch    int     // number of batch tasks
	cores    float64 // held by the batch tasks
	target   float64 // target slowdown of the latency-critical tasks
	slowdown float64 // predicted; upper bound for latency-critical tasks
}

// group returns the group of the template with index id, and adds it if needed.
func (w *worker) group(id int) *group {
	for i := range w.groups {
		if w.groups[i].template == id {
			return &w.groups[i]
		}
	}
	w.groups = append(w.groups, group{template: id})
	return &w.groups[len(w.groups)-1]
}

// allocate takes size from the free room.
func (w *worker) allocate(size dotterroom.Room) {
	w.free = w.free.Sub(size)
}

// load returns the dominant share of w that is in use.
func (w *worker) load() float64 {
	return w.host.Capacity.Sub(w.free).DominantShare(w.host.Capacity)
}
