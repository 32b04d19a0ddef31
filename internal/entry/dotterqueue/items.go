package dotterqueue

import "container/heap"

// items is a heap with the first item at its root.
type items[T any] []*Item[T]

var _ heap.Interface = (*items[int])(nil)

// Len returns the number of items.
func (h items[T]) Len() int { return len(h) }

// Less reports whether item i goes before item j.
func (h items[T]) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap swaps the items i and j.
func (h items[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push appends x, an *Item.
func (h *items[T]) Push(x any) {
	i := x.(*Item[T])
	i.index = len(*h)
	*h = append(*h, i)
}

// Pop removes the last item.
func (h *items[T]) Pop() any {
	last := len(*h) - 1
	i := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	i.index = -1
	return i
}
