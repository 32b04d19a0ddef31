package dotterplacer

import (
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
)

const (
	// snapshotsKept is the number of past compositions kept of a worker.
	snapshotsKept = 16

	// settleSpan is the time around a change in which reports say little.
	settleSpan = 1500 * dotterclock.Millisecond
)

// history is what ran on one worker lately, so that a late report can be
// matched with what ran when it was measured.
type history struct {
	snapshots []snapshot // oldest first
	actedAt   dotterclock.Millis
	liftedAt  dotterclock.Millis
	seen      int // plan in which it was seen last
}

// snapshot is what ran from an instant on.
type snapshot struct {
	from   dotterclock.Millis
	groups []dotterinterference.Corunner
}

// record notes what runs at now; groups may be reused by the caller.
func (h *history) record(now dotterclock.Millis, groups []dotterinterference.Corunner) {
	if n := len(h.snapshots); n > 0 && slices.Equal(h.snapshots[n-1].groups, groups) {
		return
	}
	if len(h.snapshots) == snapshotsKept {
		h.snapshots = slices.Delete(h.snapshots, 0, 1)
	}
	h.snapshots = append(h.snapshots, snapshot{from: now, groups: slices.Clone(groups)})
}

// at returns what ran at instant and whether that was changing; ok is false
// when it isn't known any more.
func (h *history) at(instant dotterclock.Millis) (groups []dotterinterference.Corunner, unsettled, ok bool) {
	for i := len(h.snapshots) - 1; i >= 0; i-- {
		s := h.snapshots[i]
		if s.from > instant {
			unsettled = unsettled || s.from-instant < settleSpan
			continue
		}
		unsettled = unsettled || instant-s.from < settleSpan
		return s.groups, unsettled, true
	}
	return nil, false, false
}
