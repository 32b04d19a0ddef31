package dotterowner

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// offer holds the tasks that are being moved to one other shard.
type offer struct {
	tasks        map[dottertask.ID]struct{}
	callInFlight bool
	uncertain    bool // an earlier call may have taken effect or may still do so
	nextCall     dotterclock.Millis
}

func (f *offer) add(id dottertask.ID) {
	f.tasks[id] = struct{}{}
}

// remove removes tasks that were moved or withdrawn. Once the offer is empty, no
// earlier call matters any more and uncertain is reset.
func (f *offer) remove(ids []dottertask.ID) {
	for _, id := range ids {
		delete(f.tasks, id)
	}
	if len(f.tasks) == 0 {
		f.uncertain = false
	}
}
