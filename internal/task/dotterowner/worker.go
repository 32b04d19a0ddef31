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
	host         dotterhost.Host
	listed       bool
	missingSince dotterclock.Millis // when it left the host list
	raised       bool               // it has answered an inventory at this owner's epoch
	suspect      bool               // an inventory is needed before its attempts are known
	incarnation  int64
	calling      bool // one call at a time, so that answers come in order
	failures     int  // calls without answer since the last answer
	nextCall     dotterclock.Millis
	nextRenewal  dotterclock.Millis
	clock        dotterclock.Millis // the worker's, at the last answer
	heardAt      dotterclock.Millis // this owner's, at the last answer
	leaseEnd     dotterclock.Millis // no lease that this owner granted is live after this
	lostRenewals int                // renewals without answer that may still arrive
	lostAt       dotterclock.Millis
	ends         []dotterattempt.Ref // logged ends to be acknowledged
	strays       map[dotterattempt.Ref]dotterroom.Room
	runs         map[dottertask.ID]*run
}

func newWorker(host dotterhost.Host) *worker {
	return &worker{
		host:    host,
		listed:  true,
		suspect: true,
		strays:  make(map[dotterattempt.Ref]dotterroom.Room),
		runs:    make(map[dottertask.ID]*run),
	}
}

// reachable reports whether the last call was answered.
func (w *worker) reachable() bool {
	return w.raised && w.failures == 0
}

// held returns the room that attempts take.
func (w *worker) held() dotterroom.Room {
	var sum dotterroom.Room
	for _, r := range w.runs {
		if r.holdsRoom() {
			sum = sum.Add(r.size)
		}
	}
	for _, room := range w.strays {
		sum = sum.Add(room)
	}
	return sum
}

// free returns the room that is left; components may be negative.
func (w *worker) free() dotterroom.Room {
	return w.host.Capacity.Sub(w.held())
}

// aheadRoom returns the room that attempts reserved ahead will take.
func (w *worker) aheadRoom() dotterroom.Room {
	var sum dotterroom.Room
	for _, r := range w.runs {
		if r.phase == phaseAhead || r.phase == phaseLogging && r.ahead {
			sum = sum.Add(r.size)
		}
	}
	return sum
}

// clockAt returns a lower bound of the worker's clock at the owner's instant now.
func (w *worker) clockAt(now dotterclock.Millis) dotterclock.Millis {
	return w.clock + now - w.heardAt
}

// ordered returns the attempts on w sorted by rank, submission and name.
func (w *worker) ordered() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runBefore(runs[i], runs[j]) })
	return runs
}

func runBefore(a, b *run) bool {
	if a.task.Rank != b.task.Rank {
		return a.task.Rank < b.task.Rank
	}
	if a.task.SubmittedAt != b.task.SubmittedAt {
		return a.task.SubmittedAt < b.task.SubmittedAt
	}
	return a.task.ID < b.task.ID
}
