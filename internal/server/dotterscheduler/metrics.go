package dotterscheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterlookahead"
)

// Collector exports a scheduler's state as metrics.
type Collector struct {
	scheduler   *Scheduler
	clock       dotterelusher.Clock
	owner       *prometheus.Desc
	version     *prometheus.Desc
	age         *prometheus.Desc
	boardCounts *prometheus.Desc
	unacked     *prometheus.Desc
	starts      *prometheus.Desc
	refused     *prometheus.Desc
	endings     *prometheus.Desc
	outcomes    *prometheus.Desc
	resolved    *prometheus.Desc
	transferred *prometheus.Desc
	doneMoved   *prometheus.Desc
	excluded    *prometheus.Desc
	rejected    *prometheus.Desc
	relief      *prometheus.Desc
	attempts    *prometheus.Desc
	crashes     *prometheus.Desc
	reserved    *prometheus.Desc
	panics      *prometheus.Desc
	held        *prometheus.Desc
	beyond      *prometheus.Desc
	granted     *prometheus.Desc
	tenants     *prometheus.Desc
	overload    *prometheus.Desc
}

const (
	// maxNamedTenants bounds the series by tenant.
	maxNamedTenants = 100
	// otherTenants is the label of all tenants beyond maxNamedTenants together.
	otherTenants = "(others)"
)

// NewCollector returns a collector for scheduler.
func NewCollector(scheduler *Scheduler, clock dotterelusher.Clock) *Collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("dotterelusher_"+name, help, labels, nil)
	}
	return &Collector{
		scheduler: scheduler, clock: clock,
		owner:       desc("owned_shards", "Shards that this host owns."),
		version:     desc("configuration_version", "Version of the configuration in force here."),
		age:         desc("configuration_age_seconds", "Time since the store last confirmed the configuration."),
		boardCounts: desc("board", "What the shard's owner has, by kind.", "shard", "kind"),
		unacked:     desc("unacknowledged_ends", "Ends on workers where one may not be acknowledged before the lease has expired.", "shard", "worker"),
		starts:      desc("starts_total", "Starts ordered since this host took the shard over.", "shard"),
		refused:     desc("starts_refused_total", "Starts that workers refused, by reason.", "shard", "reason"),
		endings:     desc("runs_ended_total", "Runs that ended, by how.", "shard", "ending"),
		outcomes:    desc("jobs_ended_total", "Jobs decided, by outcome.", "shard", "outcome"),
		resolved:    desc("runs_resolved_total", "Runs whose end was not reported, by how it was found out.", "shard", "how"),
		transferred: desc("tasks_handed_over_total", "Tasks handed over between this shard and others, by direction.", "shard", "direction"),
		doneMoved:   desc("done_tasks_handed_over_total", "Done tasks of jobs that were handed over between this shard and others, by direction.", "shard", "direction"),
		relief:      desc("relief_actions_total", "Orders to filling tasks for serving tasks beside them and restarts of serving tasks, by action.", "shard", "action"),
		attempts:    desc("attempts_failed_total", "Failed runs that were counted against a task or a gang.", "shard"),
		crashes:     desc("task_crashes_total", "Crashes of workers that were counted against a task that had just started there.", "shard"),
		reserved:    desc("reservations_total", "Reservations of room for large tasks, by what became of them.", "shard", "outcome"),
		excluded:    desc("jobs_excluded_total", "Jobs left as they are stored because they cannot be handled.", "shard"),
		rejected:    desc("jobs_rejected_total", "Jobs whose progress the store has rejected for good.", "shard"),
		panics:      desc("panics_contained_total", "Contained panics that belong to no single job.", "shard"),
		held:        desc("steps_held_total", "Steps of which the cap of their tenant has held tasks.", "shard"),
		beyond:      desc("jobs_beyond_rate_total", "Jobs that went after others, because their tenant has sent more than its rate.", "shard"),
		granted:     desc("cap_parts_given_total", "Parts of tenants' caps given to other shards.", "shard"),
		tenants:     desc("tenant", "What tenants use and wait for in the shards that this host owns, by kind.", "tenant", "kind"),
		overload:    desc("jobs_refused_total", "Submissions that this host refused under overload or because of a cap, by reason.", "queue", "reason"),
	}
}

// Describe implements prometheus.Collector.
func (c *Collector) Describe(descs chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, descs)
}

// Collect implements prometheus.Collector.
func (c *Collector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	counter := func(d *prometheus.Desc, value int64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
	}
	document, _ := c.scheduler.Configuration()
	gauge(c.version, float64(document.Version))
	gauge(c.age, (c.clock.Now() - c.scheduler.FreshAt()).Seconds())
	c.collectTenants(gauge)
	for refusal, n := range c.scheduler.Jobs().Refusals() {
		counter(c.overload, n, refusal.Queue, string(refusal.Reason))
	}
	summaries := c.scheduler.Summaries()
	gauge(c.owner, float64(len(summaries)))
	for shard, s := range summaries {
		for kind, n := range map[string]int{
			"Jobs": s.Jobs, "Waiting": s.Waiting, "Bound": s.Bound, "Workers": s.Workers,
			"Silent": s.Unresponsive, "Quarantine": s.Quarantined, "Harmed": s.OverTarget,
			"Tasks": s.Tasks, "Unopened": s.Unopened, "LargestValue": s.LargestValue, "Closing": s.Closing, "AwaitLease": s.AwaitLease, "Unacknowledged": s.Unacked,
			"LostWaiting": s.LostWaiting, "LongestLostMs": int(s.LongestLost),
		} {
			gauge(c.boardCounts, float64(n), shard, kind)
		}
		for worker, n := range s.UnackedByWorker {
			gauge(c.unacked, float64(n), shard, worker)
		}
		counter(c.starts, s.Starts, shard)
		for reason, n := range s.Refused {
			counter(c.refused, n, shard, string(reason))
		}
		for ending, n := range s.Endings {
			counter(c.endings, n, shard, string(ending))
		}
		for outcome, n := range s.Outcomes {
			counter(c.outcomes, n, shard, string(outcome))
		}
		for action, n := range s.Relief {
			counter(c.relief, n, shard, string(action))
		}
		counter(c.resolved, s.ResolvedByStop, shard, "Sealed")
		counter(c.resolved, s.Lost, shard, "Lost")
		counter(c.transferred, s.HandedOver, shard, "Sent")
		counter(c.transferred, s.Absorbed, shard, "Received")
		counter(c.doneMoved, s.DoneHandedOver, shard, "Sent")
		counter(c.doneMoved, s.DoneAbsorbed, shard, "Received")
		counter(c.excluded, s.Excluded, shard)
		counter(c.rejected, s.Rejected, shard)
		counter(c.attempts, s.FailedAttempts, shard)
		counter(c.crashes, s.Crashes, shard)
		for _, outcome := range dotterlookahead.Outcomes {
			counter(c.reserved, s.Reservations[outcome], shard, string(outcome))
		}
		counter(c.panics, s.Panics, shard)
		counter(c.held, s.Held, shard)
		counter(c.beyond, s.Beyond, shard)
		counter(c.granted, s.Granted, shard)
	}
}

// collectTenants passes the metrics by tenant to gauge.
func (c *Collector) collectTenants(gauge func(d *prometheus.Desc, value float64, labels ...string)) {
	for _, t := range c.scheduler.tenantTotals(maxNamedTenants) {
		for kind, n := range map[string]float64{
			"UsedCores": float64(t.Running.MilliCores) / 1000, "UsedMemoryMB": float64(t.Running.MemoryMB), "UsedGpus": float64(t.Running.Accelerators),
			"CapCores": float64(t.Cap.MilliCores) / 1000, "CapMemoryMB": float64(t.Cap.MemoryMB), "CapGpus": float64(t.Cap.Accelerators),
			"Waiting": float64(t.Waiting), "Held": float64(t.Held), "Beyond": float64(t.Beyond), "Allotment": t.Allotment,
		} {
			gauge(c.tenants, n, t.Tenant, kind)
		}
	}
}

// tenantTotals returns the sums over the shards that this host owns of at most the given number of
// tenants, those with the highest weights, and of all others together.
func (s *Scheduler) tenantTotals(most int) []dotterboard.TenantSummary {
	byName := map[string]dotterboard.TenantSummary{}
	for _, b := range s.ownedBoards() {
		for _, t := range b.Tenants() {
			if total, ok := byName[t.Tenant]; ok {
				shared := t
				t = addTenant(total, t)
				t.Cap, t.Weight = shared.Cap, shared.Weight // of all shards together
			}
			byName[t.Tenant] = t
		}
	}
	totals := slices.SortedFunc(maps.Values(byName), func(a, b dotterboard.TenantSummary) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Tenant, b.Tenant))
	})
	if len(totals) <= most {
		return totals
	}
	others := dotterboard.TenantSummary{Tenant: otherTenants}
	for _, t := range totals[most:] {
		others = addTenant(others, t)
	}
	return append(totals[:most], others)
}

// addTenant returns a with the amounts of b added.
func addTenant(a, b dotterboard.TenantSummary) dotterboard.TenantSummary {
	a.Running, a.Cap = a.Running.Add(b.Running), a.Cap.Add(b.Cap)
	a.Waiting, a.Held, a.Beyond = a.Waiting+b.Waiting, a.Held+b.Held, a.Beyond+b.Beyond
	a.Allotment, a.Weight = a.Allotment+b.Allotment, a.Weight+b.Weight
	return a
}
