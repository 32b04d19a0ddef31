package dotterledger

import (
	"container/list"

	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// queue is a list of waiting tasks ordered by submission time, then by ID.
type queue struct {
	order    *list.List
	elements map[dottertask.ID]*list.Element
}

func newQueue() *queue {
	return &queue{order: list.New(), elements: make(map[dottertask.ID]*list.Element)}
}

func (q *queue) len() int {
	return q.order.Len()
}

// add inserts task, searching from the back because most tasks belong there.
func (q *queue) add(task dottertask.Task) {
	pos := q.order.Back()
	for pos != nil && submittedBefore(task, pos.Value.(dottertask.Task)) {
		pos = pos.Prev()
	}
	if pos == nil {
		q.elements[task.ID] = q.order.PushFront(task)
		return
	}
	q.elements[task.ID] = q.order.InsertAfter(task, pos)
}

// submittedBefore orders tasks by submission time, then by ID. A shorter ID comes
// first, so that sequence numbers compare numerically.
func submittedBefore(a, b dottertask.Task) bool {
	if a.SubmittedAt != b.SubmittedAt {
		return a.SubmittedAt < b.SubmittedAt
	}
	if len(a.ID) != len(b.ID) {
		return len(a.ID) < len(b.ID)
	}
	return a.ID < b.ID
}

func (q *queue) remove(id dottertask.ID) {
	e, ok := q.elements[id]
	if !ok {
		return
	}
	q.order.Remove(e)
	delete(q.elements, id)
}

func (q *queue) each(visit func(dottertask.ID) bool) {
	for e := q.order.Front(); e != nil; e = e.Next() {
		if !visit(e.Value.(dottertask.Task).ID) {
			return
		}
	}
}
