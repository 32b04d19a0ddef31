package dotterscheduler

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterelusher/dotterelusher"
)

// Collector exports a scheduler's state as metrics.
type Collector struct {
	scheduler   *Scheduler
	clock       dotterelusher.Clock
	owner       *prometheus.Desc
	version     *prometheus.Desc
	age         *prometheus.Desc
	boardCounts *prometheus.Desc
	starts      *prometheus.Desc
	refused     *prometheus.Desc
	endings     *prometheus.Desc
	outcomes    *prometheus.Desc
	resolved    *prometheus.Desc
	transferred *prometheus.Desc
	excluded    *prometheus.Desc
	relief      *prometheus.Desc
	crashes     *prometheus.Desc
	panics      *prometheus.Desc
	tenants     tenantDescs
}

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
		starts:      desc("starts_total", "Starts ordered since this host took the shard over.", "shard"),
		refused:     desc("starts_refused_total", "Starts that workers refused, by reason.", "shard", "reason"),
		endings:     desc("runs_ended_total", "Runs that ended, by how.", "shard", "ending"),
		outcomes:    desc("jobs_ended_total", "Jobs decided, by outcome.", "shard", "outcome"),
		resolved:    desc("runs_resolved_total", "Runs whose fate was worked out, by how.", "shard", "how"),
		transferred: desc("tasks_handed_over_total", "Tasks handed over between this shard and others, by direction.", "shard", "direction"),
		relief:      desc("relief_actions_total", "Orders to filling tasks for serving tasks beside them and restarts of serving tasks, by action.", "shard", "action"),
		crashes:     desc("task_crashes_total", "Crashes of workers that were counted against a task that had just started there.", "shard"),
		excluded:    desc("jobs_excluded_total", "Jobs left as they are stored because they cannot be handled.", "shard"),
		panics:      desc("panics_contained_total", "Contained panics that belong to no single job.", "shard"),
		tenants:     newTenantDescs(desc),
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
	summaries := c.scheduler.Summaries()
	gauge(c.owner, float64(len(summaries)))
	for shard, s := range summaries {
		for kind, n := range map[string]int{
			"Jobs": s.Jobs, "Waiting": s.Waiting, "Bound": s.Bound, "Workers": s.Workers,
			"Silent": s.Unresponsive, "Quarantine": s.Quarantined, "Harmed": s.OverTarget,
		} {
			gauge(c.boardCounts, float64(n), shard, kind)
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
		counter(c.excluded, s.Excluded, shard)
		counter(c.crashes, s.Crashes, shard)
		counter(c.panics, s.Panics, shard)
	}
}
