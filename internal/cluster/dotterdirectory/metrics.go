package dotterdirectory

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the directory's collectors.
type Metrics struct {
	hosts    prometheus.Gauge
	failures prometheus.Counter
}

// NewMetrics registers the directory's collectors with registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		hosts: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dotterelusher_directory_hosts",
			Help: "Rows of the host list as last read.",
		}),
		failures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dotterelusher_directory_failures_total",
			Help: "Reads of the host list that failed.",
		}),
	}
	registerer.MustRegister(m.hosts, m.failures)
	return m
}
