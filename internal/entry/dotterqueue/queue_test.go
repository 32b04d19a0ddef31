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

// naive keeps its items sorted.
type naive struct {
	items []*Item[int]
	bound int
}

func (n *naive) push(item *Item[int]) (displaced *Item[int]) {
	n.items = append(n.items, item)
	slices.SortStableFunc(n.items, func(a, b *Item[int]) int {
		if a.Rank != b.Rank {
			return a.Rank - b.Rank
		}
		return int(a.Deadline - b.Deadline)
	})
	if len(n.items) <= n.bound {
		return nil
	}
	displaced = n.items[n.bound]
	n.items = n.items[:n.bound]
	return displaced
}

func (n *naive) remove(item *Item[int]) bool {
	i := slices.Index(n.items, item)
	if i < 0 {
		return false
	}
	n.items = slices.Delete(n.items, i, i+1)
	return true
}

func TestQueueIsASortedBoundedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(1, 6).Draw(t, "bound")
		q := New[int](bound)
		n := &naive{bound: bound}
		var known []*Item[int]
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(known) > 0 && rapid.Bool().Draw(t, "remove") {
				item := rapid.SampledFrom(known).Draw(t, "item")
				require.Equal(t, n.remove(item), q.Remove(item))
			} else {
				rank := rapid.IntRange(0, 2).Draw(t, "rank")
				deadline := rapid.Int64Range(0, 3).Draw(t, "deadline")
				item := NewItem(len(known), rank, dotterclock.Millis(deadline))
				known = append(known, item)
				require.Same(t, n.push(item), q.Push(item))
			}
			require.Equal(t, len(n.items), q.Len())
			if len(n.items) > 0 {
				require.Same(t, n.items[0], q.Peek())
			}
		}
	})
}
