package dotterledger

import (
	"container/list"

	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// queue keeps waiting tasks in order of submission, then of name.
type queue struct {
	order *list.List
	at    map[dottertask.ID]*list.Element
}

func newQueue() *queue {
	return &queue{order: list.New(), at: make(map[dottertask.ID]*list.Element)}
}

func (q *queue) len() int {
	return q.order.Len()
}

// add inserts task from the back, where nearly all tasks belong.
func (q *queue) add(task dottertask.Task) {
	mark := q.order.Back()
	for mark != nil && before(task, mark.Value.(dottertask.Task)) {
		mark = mark.Prev()
	}
	if mark == nil {
		q.at[task.ID] = q.order.PushFront(task)
		return
	}
	q.at[task.ID] = q.order.InsertAfter(task, mark)
}

func before(a, b dottertask.Task) bool {
	if a.SubmittedAt != b.SubmittedAt {
		return a.SubmittedAt < b.SubmittedAt
	}
	if len(a.ID) != len(b.ID) {
		return len(a.ID) < len(b.ID)
	}
	return a.ID < b.ID
}

func (q *queue) remove(id dottertask.ID) {
	e, ok := q.at[id]
	if !ok {
		return
	}
	q.order.Remove(e)
	delete(q.at, id)
}

func (q *queue) each(visit func(dottertask.ID) bool) {
	for e := q.order.Front(); e != nil; e = e.Next() {
		if !visit(e.Value.(dottertask.Task).ID) {
			return
		}
	}
}
