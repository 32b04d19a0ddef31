package dotterscheduler

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

const (
	// maxTenantSeries is the number of tenants that have series of their own for each shard. Some
	// twenty are expected and 68 must work.
	maxTenantSeries = 100
	// otherTenants is the label of the sum of all further tenants.
	otherTenants = "(other)"
)

// tenantDescs describes the metrics of tenants.
type tenantDescs struct {
	running *prometheus.Desc
	room    *prometheus.Desc
	waiting *prometheus.Desc
}

func newTenantDescs(desc func(name, help string, labels ...string) *prometheus.Desc) tenantDescs {
	return tenantDescs{
		running: desc("tenant_running", "Room declared by the tenant's runs in the shard, by kind.", "shard", "tenant", "kind"),
		room:    desc("tenant_cap", "What the tenant's runs may declare in all shards together, by kind; 0: no limit.", "tenant", "kind"),
		waiting: desc("tenant_waiting_tasks", "Ready tasks of the tenant in the shard that have no worker.", "shard", "tenant"),
	}
}

// boundTenants returns the first maxTenantSeries tenants by name and the sum of the others,
// whose cap is left out. It expects them sorted by name.
func boundTenants(all []dotterboard.TenantSummary) []dotterboard.TenantSummary {
	if len(all) <= maxTenantSeries {
		return all
	}
	rest := dotterboard.TenantSummary{Tenant: otherTenants}
	for _, t := range all[maxTenantSeries:] {
		rest.Running, rest.Waiting = rest.Running.Add(t.Running), rest.Waiting+t.Waiting
	}
	return append(all[:maxTenantSeries:maxTenantSeries], rest)
}

// kinds returns the components of room in the units of the configuration.
func kinds(room dotterroom.Room) map[string]int64 {
	return map[string]int64{"MilliCores": room.MilliCores, "MemoryMB": room.MemoryMB, "Accelerators": room.Accelerators}
}

// collectTenants reports the tenants of the shards that this host owns, and the caps that its
// owners know.
func (c *Collector) collectTenants(gauge func(d *prometheus.Desc, value float64, labels ...string)) {
	caps := map[string]dotterroom.Room{}
	for shard, b := range c.scheduler.ownedBoards() {
		for _, t := range boundTenants(b.Tenants()) {
			for kind, n := range kinds(t.Running) {
				gauge(c.tenants.running, float64(n), shard, t.Tenant, kind)
			}
			gauge(c.tenants.waiting, float64(t.Waiting), shard, t.Tenant)
			if t.Tenant != otherTenants {
				caps[t.Tenant] = caps[t.Tenant].Max(t.Cap)
			}
		}
	}
	for tenant, room := range caps {
		for kind, n := range kinds(room) {
			gauge(c.tenants.room, float64(n), tenant, kind)
		}
	}
}
