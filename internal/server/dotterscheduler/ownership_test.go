package dotterscheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/job/dotterentry"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// home returns the stored home of the job.
func (c *cluster) home(id dotterjob.ID) dotterentry.Home {
	e, err := c.store.Get(c.t.Context(), dotterentry.HomeKey(id))
	require.NoError(c.t, err)
	h, err := dotterentry.ParseHome(e.Value)
	require.NoError(c.t, err)
	return h
}

// checkOwner checks on every host that the job is its tenant's, and nobody else's.
func (c *cluster) checkOwner(id dotterjob.ID, tenant string) {
	for name, s := range c.hosts {
		c.await("the job's own tenant at "+name, func() bool {
			_, err := s.Jobs().State(c.t.Context(), dotterjob.Caller{Restricted: true, Tenant: tenant}, id)
			return err == nil
		})
		other := dotterjob.Caller{Restricted: true, Tenant: "other"}
		_, err := s.Jobs().State(c.t.Context(), other, id)
		assert.ErrorIs(c.t, err, dotterentry.ErrOtherTenant, name)
		assert.ErrorIs(c.t, s.Jobs().Cancel(c.t.Context(), other, id), dotterentry.ErrOtherTenant, name)
	}
}

// TestTenantOutlivesHandoverAndOwner guards against a job that belongs to nobody once its home
// was handed over to another shard, or another host has taken its shard over.
func TestTenantOutlivesHandoverAndOwner(t *testing.T) {
	c := newShardedCluster(t, 6, "a1", "b1", "c1")
	tooLarge := step(1, 100)
	tooLarge.Size.MilliCores = 1_000_000 // it waits for ever
	j := dotterjob.Job{ID: "00000000000000e1", Queue: testQueue, Tenant: "north", Steps: []dotterjob.Step{tooLarge}}
	require.NoError(t, c.hosts["a1"].Jobs().Submit(t.Context(), dotterjob.Caller{Restricted: true, Tenant: "north"}, j))
	before := c.home(j.ID)
	assert.Equal(t, "north", before.Tenant)
	c.checkOwner(j.ID, "north")

	for _, s := range c.hosts {
		document, ok := s.Configuration()
		require.True(t, ok)
		s.configure(document, map[string]bool{before.Shard: true})
	}
	c.await("another home", func() bool { return c.home(j.ID).Shard != before.Shard })
	after := c.home(j.ID)
	assert.Equal(t, "north", after.Tenant)
	c.checkOwner(j.ID, "north")

	owner := after.Shard + "1"
	c.hosts[owner].Leave()
	c.hosts[owner].Stop()
	delete(c.hosts, owner)
	c.checkOwner(j.ID, "north")
	c.await("another owner", func() bool {
		for _, s := range c.hosts {
			if b := s.Board(after.Shard); b != nil {
				_, tenant, ok := b.State(j.ID)
				return ok && tenant == "north"
			}
		}
		return false
	})
	c.checkOwner(j.ID, "north")
}

// TestHomeWithoutTenantIsAsBefore guards against a value that hosts of earlier versions cannot
// read in deployments without tenants.
func TestHomeWithoutTenantIsAsBefore(t *testing.T) {
	c := newCluster(t, 2, "a1")
	c.await("an owner", func() bool { return c.owner() != "" })
	id := c.submit("a1", 1, step(1, 60_000))
	e, err := c.store.Get(t.Context(), dotterentry.HomeKey(id))
	require.NoError(t, err)
	assert.Equal(t, "all", string(e.Value))
	e, err = c.store.Get(t.Context(), dotterentry.JobKey("all", id))
	require.NoError(t, err)
	assert.NotContains(t, string(e.Value), "Tenant")
	assert.NotContains(t, string(e.Value), "Caller")
}
