package dotterqueue

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Item is a value with its place in a Queue.
type Item[T any] struct {
	Value    T
	Rank     int                // lower goes first
	Deadline dotterclock.Millis // earlier goes first within a rank
	sequence int64
	index    int // in the heap; -1 when not queued
}

// NewItem returns an item that is in no queue.
func NewItem[T any](value T, rank int, deadline dotterclock.Millis) *Item[T] {
	return &Item[T]{Value: value, Rank: rank, Deadline: deadline, index: -1}
}

func (i *Item[T]) before(o *Item[T]) bool {
	if i.Rank != o.Rank {
		return i.Rank < o.Rank
	}
	if i.Deadline != o.Deadline {
		return i.Deadline < o.Deadline
	}
	return i.sequence < o.sequence
}
