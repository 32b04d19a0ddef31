package dotterplacer

import (
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
)

const (
	// maxSnapshots is the number of snapshots kept per worker.
	maxSnapshots = 16

	// settleTime is the time before and after a change of the running tasks in
	// which reports are considered unreliable.
	settleTime = 1500 * dotterclock.Millisecond
)

// history records the tasks that ran on a worker, so that a late report can be
// matched with the co-runners at the time of its measurement.
type history struct {
	snapshots   []snapshot // oldest first
	mitigatedAt dotterclock.Millis
	liftedAt    dotterclock.Millis
	lastPlan    int // number of the last plan whose snapshot contained the worker
}

// snapshot holds the tasks that ran from the given time until the next
// snapshot.
type snapshot struct {
	from      dotterclock.Millis
	corunners []dotterinterference.Corunner
}

// record adds a snapshot of the tasks running at now if they have changed. The
// caller may reuse corunners.
func (h *history) record(now dotterclock.Millis, corunners []dotterinterference.Corunner) {
	if n := len(h.snapshots); n > 0 && slices.Equal(h.snapshots[n-1].corunners, corunners) {
		return
	}
	if len(h.snapshots) == maxSnapshots {
		h.snapshots = slices.Delete(h.snapshots, 0, 1)
	}
	h.snapshots = append(h.snapshots, snapshot{from: now, corunners: slices.Clone(corunners)})
}

// corunnersAt returns the tasks that ran at instant, and whether they changed
// within settleTime of it. It returns false for ok if instant is before the
// oldest snapshot.
func (h *history) corunnersAt(instant dotterclock.Millis) (corunners []dotterinterference.Corunner, unsettled, ok bool) {
	for i := len(h.snapshots) - 1; i >= 0; i-- {
		s := h.snapshots[i]
		if s.from > instant {
			unsettled = unsettled || s.from-instant < settleTime
			continue
		}
		unsettled = unsettled || instant-s.from < settleTime
		return s.corunners, unsettled, true
	}
	return nil, false, false
}
