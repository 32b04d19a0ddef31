package dotterowner

import (
	"sort"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// worker is what the owner knows of one worker of the shard.
type worker struct {
	host               dotterhost.Host
	listed             bool
	unlistedSince      dotterclock.Millis // when it left the host list
	epochRaised        bool               // it has answered an inventory at this owner's epoch
	needsInventory     bool               // an inventory is needed before its attempts are known
	incarnation        int64
	callInFlight       bool // one call at a time, so that answers come in order
	failures           int  // calls without answer since the last answer
	nextCall           dotterclock.Millis
	nextRenewal        dotterclock.Millis
	clock              dotterclock.Millis // the worker's, at the last answer
	lastReplyAt        dotterclock.Millis // this owner's, at the last answer
	leaseEnd           dotterclock.Millis // no lease that this owner granted is live after this
	lostRenewals       int                // renewals without answer that may still arrive
	renewalLostAt      dotterclock.Millis
	unacknowledgedEnds []dotterattempt.Ref // logged ends to be acknowledged
	orphans            map[dotterattempt.Ref]dotterroom.Room
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

// reachable reports whether the last call was answered.
func (w *worker) reachable() bool {
	return w.epochRaised && w.failures == 0
}

// held returns the room that attempts take.
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

// free returns the room that is left; components may be negative.
func (w *worker) free() dotterroom.Room {
	return w.host.Capacity.Sub(w.held())
}

// aheadRoom returns the room that attempts reserved ahead will take.
func (w *worker) preassignedCapacity() dotterroom.Room {
	var sum dotterroom.Room
	for _, a := range w.attempts {
		if a.phase == phasePreassigned || a.phase == phaseLogging && a.preassigned {
			sum = sum.Add(a.size)
		}
	}
	return sum
}

// clockAt returns a lower bound of the worker's clock at the owner's instant now.
func (w *worker) clockAt(now dotterclock.Millis) dotterclock.Millis {
	return w.clock + now - w.lastReplyAt
}

// ordered returns the attempts on w sorted by rank, submission and name.
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
