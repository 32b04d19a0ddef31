package dotterledger

import (
	"container/heap"
	"sort"

	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

// EndedLimit is the number of ended tasks that a shard keeps readable.
const EndedLimit = 4096

// Ledger is the state of one shard.
type Ledger struct {
	entries map[dottertask.ID]dotterrecord.Entry
	stated  map[dottertask.ID]int64 // segment that states the entry last in full
	totals  map[dotterrecord.TotalKey]statedTotal
	keys    map[callerKey]dottertask.ID
	queue   *queue
	bound   map[dottertask.ID]struct{}
	ended   endedHeap
	limit   int
	index   map[int64][]dottertask.ID // tasks stated in a segment; some since restated
	bytes   int
}

type statedTotal struct {
	total   dotterrecord.Total
	segment int64
}

// callerKey names a caller's idempotency key.
type callerKey struct {
	team string
	key  string
}

// New returns an empty ledger that keeps limit ended tasks.
func New(limit int) *Ledger {
	return &Ledger{
		entries: make(map[dottertask.ID]dotterrecord.Entry),
		stated:  make(map[dottertask.ID]int64),
		totals:  make(map[dotterrecord.TotalKey]statedTotal),
		keys:    make(map[callerKey]dottertask.ID),
		queue:   newQueue(),
		bound:   make(map[dottertask.ID]struct{}),
		limit:   limit,
		index:   make(map[int64][]dottertask.ID),
	}
}

// Entry returns what the log says of task.
func (l *Ledger) Entry(task dottertask.ID) (dotterrecord.Entry, bool) {
	e, ok := l.entries[task]
	return e, ok
}

// Keyed returns the task that holds the team's idempotency key.
func (l *Ledger) Keyed(team, key string) (dottertask.ID, bool) {
	id, ok := l.keys[callerKey{team, key}]
	return id, ok
}

// Len returns the number of entries, ended ones included.
func (l *Ledger) Len() int {
	return len(l.entries)
}

// Live returns the number of entries that still need something.
func (l *Ledger) Live() int {
	return len(l.entries) - len(l.ended)
}

// QueueLen returns the number of tasks that are neither bound nor gone.
func (l *Ledger) QueueLen() int {
	return l.queue.len()
}

// BoundLen returns the number of tasks with an attempt that has not ended.
func (l *Ledger) BoundLen() int {
	return len(l.bound)
}

// EndedLen returns the number of ended and moved tasks that are still readable.
func (l *Ledger) EndedLen() int {
	return len(l.ended)
}

// Queue calls visit with the entries that are neither bound nor gone, in order
// of submission, until it returns false.
func (l *Ledger) Queue(visit func(dotterrecord.Entry) bool) {
	l.queue.each(func(id dottertask.ID) bool { return visit(l.entries[id]) })
}

// Bound returns the tasks with an attempt that has not ended, sorted.
func (l *Ledger) Bound() []dottertask.ID {
	ids := make([]dottertask.ID, 0, len(l.bound))
	for id := range l.bound {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Total returns the sum under key; it is zero before the first charge.
func (l *Ledger) Total(key dotterrecord.TotalKey) dotterrecord.Total {
	return l.totals[key].total
}

// Totals returns every sum, sorted by team and split.
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

// put stores e and keeps every index in step.
func (l *Ledger) put(e dotterrecord.Entry) {
	id := e.Task.ID
	old, existed := l.entries[id]
	if existed && old.Closed() && !e.Closed() {
		l.unend(old)
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
		l.keys[callerKey{e.Task.Team, e.Task.Key}] = id
	}
	delete(l.bound, id)
	l.queue.remove(id)
	switch {
	case e.Closed():
		if !existed || !old.Closed() {
			l.keepEnded(e)
		}
	case e.Bound():
		l.bound[id] = struct{}{}
	default:
		l.queue.add(e.Task)
	}
}

// unend takes a task that has come back out of the window of ended ones.
func (l *Ledger) unend(e dotterrecord.Entry) {
	for i, t := range l.ended {
		if t.task == e.Task.ID {
			heap.Remove(&l.ended, i)
			return
		}
	}
}

func (l *Ledger) keepEnded(e dotterrecord.Entry) {
	heap.Push(&l.ended, endedTask{at: e.Task.EndedAt, task: e.Task.ID})
	for len(l.ended) > l.limit {
		oldest := heap.Pop(&l.ended).(endedTask)
		l.forget(oldest.task)
	}
}

func (l *Ledger) forget(id dottertask.ID) {
	e := l.entries[id]
	key := callerKey{e.Task.Team, e.Task.Key}
	if l.keys[key] == id {
		delete(l.keys, key)
	}
	l.bytes -= e.Bytes()
	delete(l.entries, id)
	delete(l.stated, id)
}
