package dottershardlog

import (
	"sort"

	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

// naive keeps every record for good and works out the state from the start.
type naive struct {
	records []dotterrecord.Record
	ended   int // ended tasks that stay readable
}

// state returns every entry that a reader of the log must see.
func (n *naive) state() map[dottertask.ID]dotterrecord.Entry {
	entries := map[dottertask.ID]dotterrecord.Entry{}
	for _, r := range n.records {
		n.apply(entries, r)
	}
	var gone []dotterrecord.Entry
	for _, e := range entries {
		if e.Closed() {
			gone = append(gone, e)
		}
	}
	sort.Slice(gone, func(i, j int) bool {
		a, b := gone[i].Task, gone[j].Task
		return a.EndedAt > b.EndedAt || a.EndedAt == b.EndedAt && a.ID > b.ID
	})
	for i, e := range gone {
		if i >= n.ended {
			delete(entries, e.Task.ID)
		}
	}
	return entries
}

func (n *naive) totals() map[dotterrecord.TotalKey]dotterrecord.Total {
	totals := map[dotterrecord.TotalKey]dotterrecord.Total{}
	for _, r := range n.records {
		if r.Total != nil {
			totals[r.Total.Key()] = *r.Total
		}
	}
	return totals
}

func (n *naive) apply(entries map[dottertask.ID]dotterrecord.Entry, r dotterrecord.Record) {
	for _, id := range r.Tasks() {
		e, known := entries[id]
		switch {
		case r.Accepted != nil:
			e = *r.Accepted
		case !known || e.Closed():
			continue
		case r.Reserved != nil && r.Reserved.Attempt > e.Task.Attempt:
			e.Task.Attempt, e.Task.Worker = r.Reserved.Attempt, r.Reserved.Worker
			e.Task.State, e.Held, e.Incarnation = dottertask.StateAssigned, r.Reserved.Size, r.Reserved.Incarnation
		case r.Ended != nil:
			e = naiveEnd(e, *r.Ended)
		case r.Cancelled != nil && e.Task.State == dottertask.StateQueued && e.Target == "":
			e.Task.State, e.Task.Reason, e.Task.EndedAt = dottertask.StateCancelled, "cancelled", r.Cancelled.At
		case r.Cancelled != nil:
			e.Cancelling = true
		case r.Offered != nil && e.Task.State == dottertask.StateQueued:
			e.Target = r.Offered.Target
			if e.Target == "" && e.Cancelling {
				e.Task.State, e.Task.Reason, e.Task.EndedAt = dottertask.StateCancelled, "cancelled", r.Offered.At
			}
		case r.Moved != nil && e.Task.State == dottertask.StateQueued && e.Target == r.Moved.Target:
			e.Hops++
			e.Task.State, e.Task.Reason, e.Task.EndedAt = dottertask.StateMoved, "moved to "+r.Moved.Target, r.Moved.At
		}
		if e.Closed() {
			e.Task.Payload = ""
		}
		entries[id] = e
	}
}

func naiveEnd(e dotterrecord.Entry, r dotterrecord.Ended) dotterrecord.Entry {
	waits := r.Attempt == 0 && e.Task.State == dottertask.StateQueued && e.Target == ""
	runs := r.Attempt > 0 && e.Task.State == dottertask.StateAssigned && e.Task.Attempt == r.Attempt
	if !waits && !runs {
		return e
	}
	if r.Failed {
		e.Failures++
	}
	if r.Checkpoint != "" {
		e.Task.Checkpoint = r.Checkpoint
	}
	e.Held = dotterrecord.Entry{}.Held
	e.Task.State, e.Task.Reason = r.State, r.Reason
	if e.Cancelling && r.State == dottertask.StateQueued {
		e.Task.State = dottertask.StateCancelled
	}
	if e.Task.State.Final() {
		e.Task.EndedAt = r.At
	}
	return e
}
