package dotterdirectory

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Metrics holds the Prometheus collectors of a Directory.
type Metrics struct {
	hosts    prometheus.Gauge
	failures prometheus.Counter
}

// NewMetrics creates the collectors and registers them with registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	factory := promauto.With(registerer)
	return &Metrics{
		hosts: factory.NewGauge(prometheus.GaugeOpts{
			Name: "dotterelusher_directory_hosts",
			Help: "Rows of the host list as last read.",
		}),
		failures: factory.NewCounter(prometheus.CounterOpts{
			Name: "dotterelusher_directory_failures_total",
			Help: "Reads of the host list that failed.",
		}),
	}
}
