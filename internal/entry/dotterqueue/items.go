package dotterqueue

import "container/heap"

// items implements heap.Interface; the item to serve first is at the root.
type items[T any] []*Item[T]

var _ heap.Interface = (*items[int])(nil)

// Len returns the number of items.
func (h items[T]) Len() int { return len(h) }

// Less reports whether item i is served before item j.
func (h items[T]) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap exchanges items i and j and updates their heap indexes.
func (h items[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push appends x, which must be an *Item. It is called by package heap only.
func (h *items[T]) Push(x any) {
	i := x.(*Item[T])
	i.index = len(*h)
	*h = append(*h, i)
}

// Pop removes and returns the last element. It is called by package heap only.
func (h *items[T]) Pop() any {
	last := len(*h) - 1
	i := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	i.index = -1
	return i
}
