package dotterledger

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

// ApplySegment applies the records of segment in order.
func (l *Ledger) ApplySegment(segment dotterrecord.Segment) {
	for _, r := range segment.Records {
		l.Apply(segment.Number, r)
	}
}

// Apply applies one record of the segment with the given number. A change that
// refers to an unknown entry or does not fit the entry's state is ignored.
func (l *Ledger) Apply(number int64, r dotterrecord.Record) {
	switch {
	case r.Accepted != nil:
		l.applyFull(number, *r.Accepted)
	case r.Kept != nil:
		l.applyFull(number, *r.Kept)
	case r.Total != nil:
		l.totals[r.Total.Key()] = totalRecord{total: *r.Total, segment: number}
	case r.Reserved != nil:
		l.reserve(*r.Reserved)
	case r.Ended != nil:
		l.end(*r.Ended)
	case r.Cancelled != nil:
		l.cancel(*r.Cancelled)
	case r.Offered != nil:
		l.offer(*r.Offered)
	case r.Moved != nil:
		l.move(*r.Moved)
	}
}

// applyFull stores an entry from a full record and notes the record's segment.
func (l *Ledger) applyFull(number int64, e dotterrecord.Entry) {
	l.put(e)
	if _, kept := l.entries[e.Task.ID]; !kept {
		return
	}
	if l.fullSegment[e.Task.ID] == number {
		return
	}
	l.fullSegment[e.Task.ID] = number
	l.segmentTasks[number] = append(l.segmentTasks[number], e.Task.ID)
}

func (l *Ledger) reserve(r dotterrecord.Reserved) {
	e, ok := l.entries[r.Task]
	if !ok || e.Closed() || r.Attempt <= e.Task.Attempt {
		return
	}
	l.put(e.WithAttempt(r))
}

func (l *Ledger) end(r dotterrecord.Ended) {
	e, ok := l.entries[r.Task]
	if !ok || e.Closed() || !endMatches(e, r) {
		return
	}
	if r.Failed {
		e.Failures++
	}
	e.Crashes = r.Crashes
	if r.Checkpoint != "" {
		e.Task = e.Task.WithCheckpoint(r.Checkpoint)
	}
	e.Held = dotterrecord.Entry{}.Held
	if e.Cancelling && r.State == dottertask.StateQueued {
		r.State = dottertask.StateCancelled
	}
	if r.State.Final() {
		l.put(e.WithTask(e.Task.WithEnd(r.State, r.Reason, r.At)))
		return
	}
	l.put(e.WithTask(e.Task.WithState(dottertask.StateQueued, r.Reason)))
}

// endMatches reports whether r applies to e: with attempt zero e must be queued,
// otherwise r must name the attempt that e is bound to.
func endMatches(e dotterrecord.Entry, r dotterrecord.Ended) bool {
	if r.Attempt == 0 {
		return e.Queued()
	}
	return e.Bound() && r.Attempt == e.Task.Attempt
}

func (l *Ledger) cancel(r dotterrecord.Cancelled) {
	for _, id := range r.Tasks {
		e, ok := l.entries[id]
		if !ok || e.Closed() {
			continue
		}
		if e.Queued() {
			l.put(e.WithTask(e.Task.WithEnd(dottertask.StateCancelled, "cancelled", r.At)))
			continue
		}
		e.Cancelling = true
		l.put(e)
	}
}

func (l *Ledger) offer(r dotterrecord.Offered) {
	for _, id := range r.Tasks {
		e, ok := l.entries[id]
		if !ok || e.Task.State != dottertask.StateQueued {
			continue
		}
		e = e.WithTarget(r.Target)
		if e.Cancelling && e.Queued() {
			e.Task = e.Task.WithEnd(dottertask.StateCancelled, "cancelled", r.At)
		}
		l.put(e)
	}
}

func (l *Ledger) move(r dotterrecord.Moved) {
	for _, id := range r.Tasks {
		e, ok := l.entries[id]
		if !ok || e.Task.State != dottertask.StateQueued || e.Target != r.Target {
			continue
		}
		e = e.WithHop()
		l.put(e.WithTask(e.Task.WithEnd(dottertask.StateMoved, "moved to "+r.Target, r.At)))
	}
}
