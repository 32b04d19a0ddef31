package dotterledger

import (
	"container/heap"
	"sort"

	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

// EndedLimit is the default number of ended tasks that a shard keeps readable.
const EndedLimit = 4096

// Ledger is the state of one shard. It is not safe for concurrent use.
type Ledger struct {
	entries      map[dottertask.ID]dotterrecord.Entry
	fullSegment  map[dottertask.ID]int64 // segment with the latest full record of the task
	totals       map[dotterrecord.TotalKey]totalRecord
	keys         map[idempotencyKey]dottertask.ID
	queue        *queue
	bound        map[dottertask.ID]struct{}
	ended        endedHeap
	endedLimit   int
	segmentTasks map[int64][]dottertask.ID // tasks with a full record in the segment; some have a later one
	bytes        int
}

// totalRecord is a total and the segment that holds its latest record.
type totalRecord struct {
	total   dotterrecord.Total
	segment int64
}

// idempotencyKey is a caller's idempotency key, which is unique within its team.
type idempotencyKey struct {
	team string
	key  string
}

// New returns an empty ledger that keeps up to limit ended tasks.
func New(limit int) *Ledger {
	return &Ledger{
		entries:      make(map[dottertask.ID]dotterrecord.Entry),
		fullSegment:  make(map[dottertask.ID]int64),
		totals:       make(map[dotterrecord.TotalKey]totalRecord),
		keys:         make(map[idempotencyKey]dottertask.ID),
		queue:        newQueue(),
		bound:        make(map[dottertask.ID]struct{}),
		endedLimit:   limit,
		segmentTasks: make(map[int64][]dottertask.ID),
	}
}

// Entry returns the entry of task.
func (l *Ledger) Entry(task dottertask.ID) (dotterrecord.Entry, bool) {
	e, ok := l.entries[task]
	return e, ok
}

// TaskByKey returns the task that holds the team's idempotency key.
func (l *Ledger) TaskByKey(team, key string) (dottertask.ID, bool) {
	id, ok := l.keys[idempotencyKey{team, key}]
	return id, ok
}

// Len returns the number of entries, including closed ones.
func (l *Ledger) Len() int {
	return len(l.entries)
}

// ActiveLen returns the number of entries that are not closed.
func (l *Ledger) ActiveLen() int {
	return len(l.entries) - len(l.ended)
}

// QueueLen returns the number of tasks that are neither bound nor closed.
func (l *Ledger) QueueLen() int {
	return l.queue.len()
}

// BoundLen returns the number of bound tasks: those with an attempt that has not ended.
func (l *Ledger) BoundLen() int {
	return len(l.bound)
}

// EndedLen returns the number of ended and moved tasks that are still readable.
func (l *Ledger) EndedLen() int {
	return len(l.ended)
}

// Queue calls visit with the entries that are neither bound nor closed, in order
// of submission, until visit returns false.
func (l *Ledger) Queue(visit func(dotterrecord.Entry) bool) {
	l.queue.each(func(id dottertask.ID) bool { return visit(l.entries[id]) })
}

// Bound returns the IDs of the bound tasks, sorted.
func (l *Ledger) Bound() []dottertask.ID {
	ids := make([]dottertask.ID, 0, len(l.bound))
	for id := range l.bound {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Total returns the usage total under key, or the zero Total if there is none.
func (l *Ledger) Total(key dotterrecord.TotalKey) dotterrecord.Total {
	return l.totals[key].total
}

// Totals returns all usage totals, sorted by team, partner and split.
func (l *Ledger) Totals() []dotterrecord.Total {
	totals := make([]dotterrecord.Total, 0, len(l.totals))
	for _, t := range l.totals {
		totals = append(totals, t.total)
	}
	sort.Slice(totals, func(i, j int) bool { return totalLess(totals[i], totals[j]) })
	return totals
}

func totalLess(a, b dotterrecord.Total) bool {
	if a.Team != b.Team {
		return a.Team < b.Team
	}
	if a.Partner != b.Partner {
		return a.Partner < b.Partner
	}
	return a.Split < b.Split
}

// put stores e and updates the indexes. A closed entry is stored without its payload.
func (l *Ledger) put(e dotterrecord.Entry) {
	id := e.Task.ID
	old, existed := l.entries[id]
	if existed && old.Closed() && !e.Closed() {
		l.removeEnded(old)
	}
	if e.Closed() {
		e = e.WithoutPayload()
	}
	if existed {
		l.bytes -= old.Bytes()
	}
	l.bytes += e.Bytes()
	l.entries[id] = e
	if e.Task.Key != "" {
		l.keys[idempotencyKey{e.Task.Team, e.Task.Key}] = id
	}
	delete(l.bound, id)
	l.queue.remove(id)
	switch {
	case e.Closed():
		if !existed || !old.Closed() {
			l.addEnded(e)
		}
	case e.Bound():
		l.bound[id] = struct{}{}
	default:
		l.queue.add(e.Task)
	}
}

// removeEnded removes e, whose task has come back to this shard, from the ended tasks.
func (l *Ledger) removeEnded(e dotterrecord.Entry) {
	for i, t := range l.ended {
		if t.task == e.Task.ID {
			heap.Remove(&l.ended, i)
			return
		}
	}
}

// addEnded adds e to the ended tasks and removes the oldest ones above the limit.
func (l *Ledger) addEnded(e dotterrecord.Entry) {
	heap.Push(&l.ended, endedTask{at: e.Task.EndedAt, task: e.Task.ID})
	for len(l.ended) > l.endedLimit {
		oldest := heap.Pop(&l.ended).(endedTask)
		l.remove(oldest.task)
	}
}

func (l *Ledger) remove(id dottertask.ID) {
	e := l.entries[id]
	key := idempotencyKey{e.Task.Team, e.Task.Key}
	if l.keys[key] == id {
		delete(l.keys, key)
	}
	l.bytes -= e.Bytes()
	delete(l.entries, id)
	delete(l.fullSegment, id)
}
