package dotterqueue

import "container/heap"

// Queue is a bounded priority queue ordered by rank, deadline and arrival.
type Queue[T any] struct {
	items    items[T]
	capacity int
	sequence int64
}

// New returns an empty queue that holds at most capacity items.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{capacity: capacity}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int {
	return len(q.items)
}

// Push adds item to the queue. If the queue is full, it returns the item that was
// displaced: the last queued item if item precedes it, otherwise item itself.
func (q *Queue[T]) Push(item *Item[T]) (displaced *Item[T]) {
	q.sequence++
	item.sequence = q.sequence
	if len(q.items) < q.capacity {
		heap.Push(&q.items, item)
		return nil
	}
	last := q.Last()
	if last == nil || !item.before(last) {
		return item
	}
	q.Remove(last)
	heap.Push(&q.items, item)
	return last
}

// Peek returns the item to serve first without removing it, or nil if the queue
// is empty.
func (q *Queue[T]) Peek() *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// Remove removes item and reports whether it was queued.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item.index < 0 {
		return false
	}
	heap.Remove(&q.items, item.index)
	return true
}

// Last returns the item to serve last without removing it, or nil if the queue is empty.
// It scans all items.
func (q *Queue[T]) Last() *Item[T] {
	var last *Item[T]
	for _, i := range q.items {
		if last == nil || last.before(i) {
			last = i
		}
	}
	return last
}
