package dotterintake

import "github.com/prometheus/client_golang/prometheus"

var (
	connectionsDesc = prometheus.NewDesc("dotterelusher_intake_connections", "Number of callers' connections that are open, by door.", []string{"door"}, nil)
	maxConnections  = prometheus.NewDesc("dotterelusher_intake_connections_max", "Limit of callers' connections, by door.", []string{"door"}, nil)
	heldDesc        = prometheus.NewDesc("dotterelusher_intake_held_bytes", "Memory that is charged to callers' requests.", nil, nil)
	maxHeldDesc     = prometheus.NewDesc("dotterelusher_intake_held_bytes_max", "Limit of the memory that is charged to callers' requests.", nil, nil)
	refusedDesc     = prometheus.NewDesc("dotterelusher_intake_refused_total", "Number of callers whose requests or connections were ended before their requests were handled, by reason.", []string{"reason"}, nil)
)

var _ prometheus.Collector = (*Intake)(nil)

// Describe implements prometheus.Collector.
func (i *Intake) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{connectionsDesc, maxConnections, heldDesc, maxHeldDesc, refusedDesc} {
		descs <- d
	}
}

// Collect implements prometheus.Collector.
func (i *Intake) Collect(metrics chan<- prometheus.Metric) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, d := range i.doors {
		metrics <- prometheus.MustNewConstMetric(connectionsDesc, prometheus.GaugeValue, float64(len(d.conns)), d.name)
		metrics <- prometheus.MustNewConstMetric(maxConnections, prometheus.GaugeValue, float64(d.limit), d.name)
	}
	metrics <- prometheus.MustNewConstMetric(heldDesc, prometheus.GaugeValue, float64(i.held))
	metrics <- prometheus.MustNewConstMetric(maxHeldDesc, prometheus.GaugeValue, float64(i.memory()))
	for _, reason := range []Reason{ReasonConnections, ReasonMemory, ReasonLate, ReasonIncomplete, ReasonTooLarge} {
		metrics <- prometheus.MustNewConstMetric(refusedDesc, prometheus.CounterValue, float64(i.refused[reason]), string(reason))
	}
}
