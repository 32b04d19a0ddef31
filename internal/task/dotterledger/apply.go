package dotterledger

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

// ApplySegment applies every record of segment.
func (l *Ledger) ApplySegment(segment dotterrecord.Segment) {
	for _, r := range segment.Records {
		l.Apply(segment.Number, r)
	}
}

// Apply applies one record that stands in the segment called number.
func (l *Ledger) Apply(number int64, r dotterrecord.Record) {
	switch {
	case r.Accepted != nil:
		l.state(number, *r.Accepted)
	case r.Kept != nil:
		l.state(number, *r.Kept)
	case r.Total != nil:
		l.totals[r.Total.Key()] = statedTotal{total: *r.Total, segment: number}
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

func (l *Ledger) state(number int64, e dotterrecord.Entry) {
	l.put(e)
	if _, kept := l.entries[e.Task.ID]; !kept {
		return
	}
	if l.stated[e.Task.ID] == number {
		return
	}
	l.stated[e.Task.ID] = number
	l.index[number] = append(l.index[number], e.Task.ID)
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

// endMatches reports whether r ends what e is in: its newest attempt, or its wait.
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
