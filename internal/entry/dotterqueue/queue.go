package dotterqueue

import "container/heap"

// Queue is a bounded queue by rank, deadline and arrival.
type Queue[T any] struct {
	items    items[T]
	bound    int
	sequence int64
}

// New returns a queue of at most bound items.
func New[T any](bound int) *Queue[T] {
	return &Queue[T]{bound: bound}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int {
	return len(q.items)
}

// Push adds item. When the queue is full, it returns the item that has no place:
// the last one, which is item itself unless that goes before another.
func (q *Queue[T]) Push(item *Item[T]) (displaced *Item[T]) {
	q.sequence++
	item.sequence = q.sequence
	if len(q.items) < q.bound {
		heap.Push(&q.items, item)
		return nil
	}
	last := q.last()
	if last == nil || !item.before(last) {
		return item
	}
	q.Remove(last)
	heap.Push(&q.items, item)
	return last
}

// Peek returns the first item, or nil.
func (q *Queue[T]) Peek() *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// Remove takes item out and reports whether it was queued.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item.index < 0 {
		return false
	}
	heap.Remove(&q.items, item.index)
	return true
}

// last returns the item that goes last, or nil.
func (q *Queue[T]) last() *Item[T] {
	var last *Item[T]
	for _, i := range q.items {
		if last == nil || last.before(i) {
			last = i
		}
	}
	return last
}
