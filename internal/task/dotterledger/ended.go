package dotterledger

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// endedTask is an element of endedHeap.
type endedTask struct {
	at   dotterclock.Millis
	task dottertask.ID
}

// endedHeap implements heap.Interface; the task that ended first is at the top.
type endedHeap []endedTask

// Len implements heap.Interface.
func (h endedHeap) Len() int { return len(h) }

// Less orders tasks by end time, then by ID.
func (h endedHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].task < h[j].task
}

// Swap implements heap.Interface.
func (h endedHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *endedHeap) Push(x any) { *h = append(*h, x.(endedTask)) }

// Pop implements heap.Interface.
func (h *endedHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
