package dotterscheduler

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// TestEveryHostListsTenants guards against a listing that shows the usage in one shard only, or
// none on hosts that do not own a shard, and against one that shows a key.
func TestEveryHostListsTenants(t *testing.T) {
	c := newShardedCluster(t, 6, "a1", "b1", "c1")
	roomCap := dotterroom.Room{MilliCores: 1_000_000}
	for _, s := range c.hosts {
		document, ok := s.Configuration()
		require.True(t, ok)
		s.configure(document.WithTenants([]dotterqueues.Tenant{{Name: "north", Keys: []string{"secret"}, Cap: roomCap}, {Name: "south", Keys: []string{"other"}}}), map[string]bool{})
	}
	north := dotterjob.Caller{Restricted: true, Tenant: "north"}
	for i, host := range []string{"a1", "b1", "c1"} {
		j := dotterjob.Job{
			ID: dotterjob.ID([]string{"00000000000000d1", "00000000000000d2", "00000000000000d3"}[i]), Queue: testQueue, Tenant: "north",
			Steps: []dotterjob.Step{step(2, 60_000)},
		}
		c.pool.AddJob(j)
		require.NoError(t, c.hosts[host].Jobs().Submit(t.Context(), north, j))
	}
	want := []dottermessage.TenantUsage{
		{Tenant: "north", Configured: true, Running: dotterroom.Room{MilliCores: 12_000, MemoryMB: 24_000}, Cap: roomCap},
		{Tenant: "south", Configured: true},
	}
	c.start("b2")
	for name, s := range c.hosts {
		c.await("the usage of all shards at "+name, func() bool {
			answer := s.Tenants(t.Context())
			return len(answer.Shards) == 3 && len(answer.Tenants) == 2 && answer.Tenants[0].Running == want[0].Running
		})
		if name == "b2" {
			continue // it has the tenants of its first configuration, none
		}
		recorder := httptest.NewRecorder()
		s.ServeTenants(recorder, httptest.NewRequest(http.MethodGet, "/tenants", nil))
		assert.NotContains(t, recorder.Body.String(), "secret")
		var answer dottermessage.TenantsAnswer
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &answer))
		assert.Equal(t, want, answer.Tenants, name)
		assert.Equal(t, []string{"a", "b", "c"}, answer.Shards)
		assert.Empty(t, answer.Missing)
	}
	c.hosts["a1"].Leave()
	answer := c.hosts["a1"].Tenants(t.Context())
	assert.Len(t, answer.Tenants, 2, "a tenant is listed whoever answers")
}

// TestChangedKeysAreLogged guards against a removed key whose version operators cannot find, and
// against a key in the log.
func TestChangedKeysAreLogged(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	s := &Scheduler{logger: zap.New(core)}
	for version, tenants := range [][]dotterqueues.Tenant{
		nil, {{Name: "north", Keys: []string{"n1", "n2"}}}, {{Name: "north", Keys: []string{"n1"}}}, {{Name: "north", Keys: []string{"n1"}}},
	} {
		s.configure(dotterqueues.NewDocument(int64(version+1), nil, nil, dotterqueues.Limits{}).WithTenants(tenants), nil)
	}
	lines := logs.FilterMessage("configuration in force").All()
	require.Len(t, lines, 4)
	assert.NotContains(t, lines[0].ContextMap(), "Tenants", "a deployment without tenants")
	assert.Equal(t, []any{"north"}, lines[1].ContextMap()["KeysChangedOf"])
	assert.Equal(t, []any{"north"}, lines[2].ContextMap()["KeysChangedOf"])
	assert.NotContains(t, lines[3].ContextMap(), "KeysChangedOf")
	assert.EqualValues(t, 1, lines[3].ContextMap()["Tenants"])
	for _, l := range lines {
		assert.NotContains(t, fmt.Sprint(l.ContextMap()), "n1")
	}
}

// TestTenantSeriesAreBounded guards against a number of series that grows with the tenants, and
// against usage that is missing from the sum.
func TestTenantSeriesAreBounded(t *testing.T) {
	tests := map[string]struct{ tenants, series int }{
		"none":      {0, 0},
		"as wanted": {68, 68},
		"the most":  {maxTenantSeries, maxTenantSeries},
		"too many":  {1000, maxTenantSeries + 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var all []dotterboard.TenantSummary
			for i := range tc.tenants {
				all = append(all, dotterboard.TenantSummary{Tenant: fmt.Sprintf("t%04d", i), Running: dotterroom.Room{MilliCores: 2}, Waiting: 3})
			}
			bounded := boundTenants(all)
			assert.Len(t, bounded, tc.series)
			cores, waiting := int64(0), 0
			for _, b := range bounded {
				cores, waiting = cores+b.Running.MilliCores, waiting+b.Waiting
			}
			assert.EqualValues(t, 2*tc.tenants, cores)
			assert.Equal(t, 3*tc.tenants, waiting)
			assert.Len(t, all, tc.tenants)
		})
	}
}

// TestTenantMetrics guards against series of tenants in deployments that have none, and checks
// those of one that has.
func TestTenantMetrics(t *testing.T) {
	c := newCluster(t, 2, "a1")
	c.await("an owner", func() bool { return c.owner() != "" })
	s := c.hosts["a1"]
	names := []string{"dotterelusher_tenant_running", "dotterelusher_tenant_cap", "dotterelusher_tenant_waiting_tasks"}
	collector := NewCollector(s, c.clock)
	assert.NoError(t, testutil.CollectAndCompare(collector, strings.NewReader(""), names...))
	document, _ := s.Configuration()
	s.configure(document.WithTenants([]dotterqueues.Tenant{{Name: "north", Cap: dotterroom.Room{MilliCores: 9000, MemoryMB: 70_000}}}), map[string]bool{})
	j := dotterjob.Job{ID: "00000000000000d7", Queue: testQueue, Tenant: "north", Steps: []dotterjob.Step{step(2, 60_000)}}
	c.pool.AddJob(j)
	require.NoError(t, s.Jobs().Submit(t.Context(), dotterjob.Caller{Restricted: true, Tenant: "north"}, j))
	c.await("both run", func() bool { return c.pool.Starts(j.ID) == 2 })
	assert.NoError(t, testutil.CollectAndCompare(collector, strings.NewReader(`
# HELP dotterelusher_tenant_cap What the tenant's runs may declare in all shards together, by kind; 0: no limit.
# TYPE dotterelusher_tenant_cap gauge
dotterelusher_tenant_cap{kind="Accelerators",tenant="north"} 0
dotterelusher_tenant_cap{kind="MemoryMB",tenant="north"} 70000
dotterelusher_tenant_cap{kind="MilliCores",tenant="north"} 9000
# HELP dotterelusher_tenant_running Room declared by the tenant's runs in the shard, by kind.
# TYPE dotterelusher_tenant_running gauge
dotterelusher_tenant_running{kind="Accelerators",shard="all",tenant="north"} 0
dotterelusher_tenant_running{kind="MemoryMB",shard="all",tenant="north"} 8000
dotterelusher_tenant_running{kind="MilliCores",shard="all",tenant="north"} 4000
# HELP dotterelusher_tenant_waiting_tasks Ready tasks of the tenant in the shard that have no worker.
# TYPE dotterelusher_tenant_waiting_tasks gauge
dotterelusher_tenant_waiting_tasks{shard="all",tenant="north"} 0
`), names...))
}
