package dotterledger

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// endedTask orders a task in the window of ended ones.
type endedTask struct {
	at   dotterclock.Millis
	task dottertask.ID
}

// endedHeap is a heap of ended tasks with the oldest first.
type endedHeap []endedTask

// Len returns the number of ended tasks.
func (h endedHeap) Len() int { return len(h) }

// Less orders by time of end, then by name.
func (h endedHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].task < h[j].task
}

// Swap exchanges two elements.
func (h endedHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an element.
func (h *endedHeap) Push(x any) { *h = append(*h, x.(endedTask)) }

// Pop removes the last element.
func (h *endedHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
