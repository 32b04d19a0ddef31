package dottermember

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/platform/dottermemory"
)

func TestJoinLeaveAndRestart(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	list := &hostList{}
	list.set(false, backend("s"), entry("h1"), entry("h2"), entry("h3"))
	h1 := startNode(t, "h1", "127.0.0.1:0", store, list)
	require.Eventually(t, func() bool { return h1.usable("s") == 8 }, patience, look)

	h2 := startNode(t, "h2", "127.0.0.1:0", store, list)
	h3 := startNode(t, "h3", "127.0.0.1:0", store, list)
	shared := func(nodes ...*node) func() bool {
		return func() bool {
			sum := 0
			for _, n := range nodes {
				sum += n.usable("s")
			}
			return sum == 8 && len(h1.keeper.Record().Open) == 0
		}
	}
	require.Eventually(t, shared(h1, h2, h3), patience, look)

	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	require.NoError(t, h3.keeper.Leave(ctx))
	require.Eventually(t, shared(h1, h2), patience, look)
	require.Zero(t, h3.usable("s"))

	address := h2.mesh.Identity().Address
	h2.kill()
	again := startNode(t, "h2", address, store, list)
	require.Eventually(t, shared(h1, again), patience, look)
}

func TestReclaimNeedsTheHostList(t *testing.T) {
	store := dottermemory.New(dotterclock.NewSystem())
	list := &hostList{}
	list.set(false, backend("s"), entry("h1"), entry("h2"))
	h1 := startNode(t, "h1", "127.0.0.1:0", store, list)
	h2 := startNode(t, "h2", "127.0.0.1:0", store, list)
	require.Eventually(t, func() bool { return h1.usable("s") == 4 && h2.usable("s") == 4 }, patience, look)

	h2.kill()
	list.set(true)
	lapsed := func() bool {
		entries, _, err := store.List(t.Context(), alivePrefix)
		return err == nil && len(entries) == 1
	}
	require.Eventually(t, lapsed, patience, look)
	require.Equal(t, 4, h1.usable("s"), "a list that can't be read proves nothing")

	list.set(false, backend("s"), entry("h1"))
	require.Eventually(t, func() bool { return h1.usable("s") == 8 }, patience, look)
}
