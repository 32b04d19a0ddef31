package dotterscheduler

import (
	"fmt"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// TestTenantMetricsAreBounded guards against a number of series that grows with the number of
// tenants, and against tenants that appear in no sum.
func TestTenantMetricsAreBounded(t *testing.T) {
	const tenants = 130
	var configured []dotterqueues.Tenant
	for i := range tenants {
		configured = append(configured, dotterqueues.Tenant{Name: fmt.Sprintf("t%03d", i), Weight: float64(i), Cap: dotterroom.Room{MilliCores: 2000}})
	}
	document := dotterqueues.NewDocument(1, nil, nil, dotterqueues.Limits{}).WithTenants(configured)
	clock := dotterclock.NewManual(1_000_000)
	s := &Scheduler{clock: clock, boards: map[string]*dotterboard.Board{}}
	for i, shard := range []string{"a", "b"} {
		b := dotterboard.New(dotterboard.Settings{}, 1, clock.Now(), clock.Now(), zap.NewNop())
		b.SetShard(shard, i, 2)
		b.Configure(document, nil)
		b.Accept(clock.Now(), 0, dotterjob.Job{ID: dotterjob.ID(fmt.Sprintf("%016x", i)), Tenant: "t000", Steps: []dotterjob.Step{{Count: 3}}})
		b.Plan(clock.Now(), clock.Now())
		s.boards[shard] = b
	}
	totals := s.tenantTotals(maxNamedTenants)
	require.Len(t, totals, maxNamedTenants+1)
	assert.Equal(t, "t129", totals[0].Tenant)
	assert.Equal(t, dotterroom.Room{MilliCores: 2000}, totals[0].Cap, "a cap is of all shards together")
	assert.InDelta(t, 1, totals[0].Allotment, 1e-9)
	others := totals[maxNamedTenants]
	assert.Equal(t, otherTenants, others.Tenant)
	assert.Equal(t, 6, others.Waiting)
	assert.Equal(t, int64(30*2000), others.Cap.MilliCores)

	series := map[string]bool{}
	NewCollector(s, clock).collectTenants(func(_ *prometheus.Desc, _ float64, labels ...string) {
		series[strings.Join(labels, "/")] = true
	})
	assert.Len(t, series, 10*(maxNamedTenants+1))
	assert.Contains(t, series, otherTenants+"/Waiting")
}
