package dotterowner

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// offer is the tasks that are on their way to one other shard.
type offer struct {
	tasks        map[dottertask.ID]struct{}
	callInFlight bool
	uncertain    bool // a call may have been carried out, or may still be
	nextCall     dotterclock.Millis
}

func (f *offer) add(id dottertask.ID) {
	f.tasks[id] = struct{}{}
}

// remove takes out tasks that are settled; an empty offer starts afresh.
func (f *offer) remove(ids []dottertask.ID) {
	for _, id := range ids {
		delete(f.tasks, id)
	}
	if len(f.tasks) == 0 {
		f.uncertain = false
	}
}
