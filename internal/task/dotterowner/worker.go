package dotterowner

import (
	"sort"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// worker is the owner's view of one worker of the shard.
type worker struct {
	host               dotterhost.Host
	listed             bool
	unlistedSince      dotterclock.Millis // when it was found missing from the host list
	epochRaised        bool               // whether it has answered an inventory at this owner's epoch
	needsInventory     bool               // its attempts are unknown until the next inventory
	incarnation        int64
	callInFlight       bool // at most one call at a time, so that answers arrive in order
	failures           int  // failed calls since the last reply
	nextCall           dotterclock.Millis
	nextRenewal        dotterclock.Millis
	clock              dotterclock.Millis // worker's clock at the last reply
	lastReplyAt        dotterclock.Millis // owner's clock at the last reply
	leaseEnd           dotterclock.Millis // upper bound for the end of every lease that this owner granted
	lostRenewals       int                // unanswered renewals that may still arrive
	renewalLostAt      dotterclock.Millis
	unacknowledgedEnds []dotterattempt.Ref                   // logged ends to acknowledge to the worker
	orphans            map[dotterattempt.Ref]dotterroom.Room // attempts that the worker runs but the log doesn't bind to it
	attempts           map[dottertask.ID]*attempt
}

func newWorker(host dotterhost.Host) *worker {
	return &worker{
		host:           host,
		listed:         true,
		needsInventory: true,
		orphans:        make(map[dotterattempt.Ref]dotterroom.Room),
		attempts:       make(map[dottertask.ID]*attempt),
	}
}

// reachable reports whether w has been inventoried and answered the last call.
func (w *worker) reachable() bool {
	return w.epochRaised && w.failures == 0
}

// held returns the capacity in use, including that of orphans.
func (w *worker) held() dotterroom.Room {
	var sum dotterroom.Room
	for _, a := range w.attempts {
		if a.holdsCapacity() {
			sum = sum.Add(a.size)
		}
	}
	for _, room := range w.orphans {
		sum = sum.Add(room)
	}
	return sum
}

// free returns the remaining capacity; components may be negative.
func (w *worker) free() dotterroom.Room {
	return w.host.Capacity.Sub(w.held())
}

// preassignedCapacity returns the capacity that preassigned attempts will need.
func (w *worker) preassignedCapacity() dotterroom.Room {
	var sum dotterroom.Room
	for _, a := range w.attempts {
		if a.phase == phasePreassigned || a.phase == phaseLogging && a.preassigned {
			sum = sum.Add(a.size)
		}
	}
	return sum
}

// clockAt returns a lower bound for the worker's clock at now on the owner's clock.
func (w *worker) clockAt(now dotterclock.Millis) dotterclock.Millis {
	return w.clock + now - w.lastReplyAt
}

// sortedAttempts returns the attempts on w by rank, submission time and task ID.
func (w *worker) sortedAttempts() []*attempt {
	attempts := make([]*attempt, 0, len(w.attempts))
	for _, a := range w.attempts {
		attempts = append(attempts, a)
	}
	sort.Slice(attempts, func(i, j int) bool { return attemptBefore(attempts[i], attempts[j]) })
	return attempts
}

func attemptBefore(a, b *attempt) bool {
	if a.task.Rank != b.task.Rank {
		return a.task.Rank < b.task.Rank
	}
	if a.task.SubmittedAt != b.task.SubmittedAt {
		return a.task.SubmittedAt < b.task.SubmittedAt
	}
	return a.task.ID < b.task.ID
}
