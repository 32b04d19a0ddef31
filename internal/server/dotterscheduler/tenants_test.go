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

// TestTenantMetrics guards against series of tenants in deployments that have none, and checks
// those of one that has.
func TestTenantMetrics(t *testing.T) {
	c := newCluster(t, 2, "a1")
	c.await("an owner", func() bool { return c.owner() != "" })
	s := c.hosts["a1"]
	names := []string{"dotterelusher_tenant"}
	collector := NewCollector(s, c.clock)
	assert.NoError(t, testutil.CollectAndCompare(collector, strings.NewReader(""), names...))
	document, _ := s.Configuration()
	s.configure(document.WithTenants([]dotterqueues.Tenant{{Name: "north", Cap: dotterroom.Room{MilliCores: 9000, MemoryMB: 70_000}}}), map[string]bool{})
	j := dotterjob.Job{ID: "00000000000000d7", Queue: testQueue, Tenant: "north", Steps: []dotterjob.Step{step(2, 60_000)}}
	c.pool.AddJob(j)
	require.NoError(t, s.Jobs().Submit(t.Context(), dotterjob.Caller{Restricted: true, Tenant: "north"}, j))
	c.await("both run", func() bool { return c.pool.Starts(j.ID) == 2 })
	assert.NoError(t, testutil.CollectAndCompare(collector, strings.NewReader(`
# HELP dotterelusher_tenant What tenants use and wait for in the shards that this host owns, by kind.
# TYPE dotterelusher_tenant gauge
dotterelusher_tenant{kind="Allotment",tenant="north"} 1
dotterelusher_tenant{kind="Beyond",tenant="north"} 0
dotterelusher_tenant{kind="CapCores",tenant="north"} 9
dotterelusher_tenant{kind="CapGpus",tenant="north"} 0
dotterelusher_tenant{kind="CapMemoryMB",tenant="north"} 70000
dotterelusher_tenant{kind="Held",tenant="north"} 0
dotterelusher_tenant{kind="UsedCores",tenant="north"} 4
dotterelusher_tenant{kind="UsedGpus",tenant="north"} 0
dotterelusher_tenant{kind="UsedMemoryMB",tenant="north"} 8000
dotterelusher_tenant{kind="Waiting",tenant="north"} 0
`), names...))
}
