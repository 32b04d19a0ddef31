package dotterscheduler

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterentry"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterquota"
)

// storedParts returns the sum of the shards' stored parts of the tenant's cap and of the grants on
// their way, and the number of stored values.
func (c *cluster) storedParts(tenant string) (sum dotterquota.Part, stored int) {
	for i, shard := range c.domains {
		part := dotterquota.Equal(i, len(c.domains))
		if e, err := c.store.Get(c.t.Context(), dotterentry.AllotmentKey(shard)); err == nil {
			parts := map[string]dotterquota.Part{}
			require.NoError(c.t, json.Unmarshal(e.Value, &parts))
			if p, ok := parts[tenant]; ok {
				part = p
				stored++
			}
		}
		sum += part
		entries, _, err := c.store.List(c.t.Context(), dotterentry.InboxPrefix(shard))
		require.NoError(c.t, err)
		for _, e := range entries {
			if dotterentry.IsGrantKey(shard, e.Key) {
				var g dotterboard.Grant
				require.NoError(c.t, json.Unmarshal(e.Value, &g))
				sum += g.Parts[tenant]
				stored++
			}
		}
	}
	return sum, stored
}

// TestCapOverTheStore checks over the store that one shard gets the parts of the others when it
// needs them, and that the cap holds while owners are replaced.
func TestCapOverTheStore(t *testing.T) {
	const running = 12
	c := newTenantCluster(t, 6, []dotterqueues.Tenant{
		{Name: "north", Weight: 10, Cap: dotterroom.Room{MilliCores: running * 2000, MemoryMB: running * 4000}},
	}, "a1", "b1", "c1")
	count := func() int {
		n := 0
		for _, runs := range c.pool.Running() {
			n += len(runs)
		}
		require.LessOrEqual(t, n, running)
		return n
	}
	id := c.submitAs("north", "a1", 1, step(60, 600))
	c.await("the whole cap is used", func() bool { return count() == running })
	home, err := c.store.Get(t.Context(), dotterentry.HomeKey(id))
	require.NoError(t, err)
	at, err := dotterentry.ParseHome(home.Value)
	require.NoError(t, err)
	owner := at.Shard + "1"
	c.hosts[owner].Leave()
	c.hosts[owner].Stop()
	delete(c.hosts, owner)
	var ids []dotterjob.ID
	for host := range c.hosts {
		ids = append(ids, c.submitAs("north", host, 10+len(ids), step(8, 300)))
	}
	for host := range c.hosts {
		for _, id := range append(ids, id) {
			c.await("completed", func() bool { count(); return c.stateAt(host, id) == dotterjob.Completed })
		}
	}
	for host := range c.hosts {
		c.hosts[host].Stop()
	}
	sum, stored := c.storedParts("north")
	assert.Equal(t, dotterquota.Whole, sum)
	assert.Positive(t, stored, "parts must have moved")
	assert.Empty(t, c.pool.Violations())
}
