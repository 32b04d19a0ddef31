package dotterqueue

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Item is a value with the attributes that determine its position in a Queue.
type Item[T any] struct {
	Value    T
	Rank     int                // lower is served first
	Deadline dotterclock.Millis // within a rank, earlier is served first
	sequence int64              // order of arrival in the queue
	index    int                // position in the heap; -1 when not queued
}

// NewItem returns an item that is not yet queued.
func NewItem[T any](value T, rank int, deadline dotterclock.Millis) *Item[T] {
	return &Item[T]{Value: value, Rank: rank, Deadline: deadline, index: -1}
}

// before reports whether i is served before o.
func (i *Item[T]) before(o *Item[T]) bool {
	if i.Rank != o.Rank {
		return i.Rank < o.Rank
	}
	if i.Deadline != o.Deadline {
		return i.Deadline < o.Deadline
	}
	return i.sequence < o.sequence
}
