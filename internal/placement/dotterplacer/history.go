package dotterplacer

import (
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
)

const (
	// maxSnapshots is the number of past compositions kept of a worker.
	maxSnapshots = 16

	// settleTime is the time around a change in which reports say little.
	settleTime = 1500 * dotterclock.Millisecond
)

// history is what ran on one worker lately, so that a late report can be
// matched with what ran when it was measured.
type history struct {
	snapshots   []snapshot // oldest first
	mitigatedAt dotterclock.Millis
	liftedAt    dotterclock.Millis
	lastPlan    int // plan in which it was seen last
}

// snapshot is what ran from an instant on.
type snapshot struct {
	from      dotterclock.Millis
	corunners []dotterinterference.Corunner
}

// record notes what runs at now; groups may be reused by the caller.
func (h *history) record(now dotterclock.Millis, corunners []dotterinterference.Corunner) {
	if n := len(h.snapshots); n > 0 && slices.Equal(h.snapshots[n-1].corunners, corunners) {
		return
	}
	if len(h.snapshots) == maxSnapshots {
		h.snapshots = slices.Delete(h.snapshots, 0, 1)
	}
	h.snapshots = append(h.snapshots, snapshot{from: now, corunners: slices.Clone(corunners)})
}

// corunnersAt returns what ran at instant and whether that was changing; ok is false
// when it isn't known any more.
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
