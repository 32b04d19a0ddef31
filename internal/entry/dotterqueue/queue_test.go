package dotterqueue

import (
	"flag"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// sortedQueue is a reference implementation of Queue that sorts a slice on every
// push.
type sortedQueue struct {
	items    []*Item[int]
	capacity int
}

func (q *sortedQueue) push(item *Item[int]) (displaced *Item[int]) {
	q.items = append(q.items, item)
	slices.SortStableFunc(q.items, func(a, b *Item[int]) int {
		if a.Rank != b.Rank {
			return a.Rank - b.Rank
		}
		return int(a.Deadline - b.Deadline)
	})
	if len(q.items) <= q.capacity {
		return nil
	}
	displaced = q.items[q.capacity]
	q.items = q.items[:q.capacity]
	return displaced
}

func (q *sortedQueue) remove(item *Item[int]) bool {
	i := slices.Index(q.items, item)
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	return true
}

func TestQueueMatchesSortedModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 6).Draw(t, "capacity")
		q := New[int](capacity)
		model := &sortedQueue{capacity: capacity}
		var pushed []*Item[int]
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(pushed) > 0 && rapid.Bool().Draw(t, "remove") {
				item := rapid.SampledFrom(pushed).Draw(t, "item")
				require.Equal(t, model.remove(item), q.Remove(item))
			} else {
				rank := rapid.IntRange(0, 2).Draw(t, "rank")
				deadline := rapid.Int64Range(0, 3).Draw(t, "deadline")
				item := NewItem(len(pushed), rank, dotterclock.Millis(deadline))
				pushed = append(pushed, item)
				require.Same(t, model.push(item), q.Push(item))
			}
			require.Equal(t, len(model.items), q.Len())
			if len(model.items) > 0 {
				require.Same(t, model.items[0], q.Peek())
			}
		}
	})
}
