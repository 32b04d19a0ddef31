package dotterrevision

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Metrics holds the Prometheus collectors of a Tracker.
type Metrics struct {
	revision     prometheus.Gauge
	adopted      *prometheus.CounterVec
	reads        *prometheus.CounterVec
	olderAnswers prometheus.Counter
}

// NewMetrics registers the collectors of a Tracker with registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	factory := promauto.With(registerer)
	return &Metrics{
		revision: factory.NewGauge(prometheus.GaugeOpts{
			Name: "dotterelusher_configuration_revision",
			Help: "Revision of the configuration in force.",
		}),
		adopted: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterelusher_configuration_taken_total",
			Help: "Revisions taken, by source.",
		}, []string{"Source"}),
		reads: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterelusher_configuration_reads_total",
			Help: "Reads made for proof that the configuration is current, by source and result.",
		}, []string{"Source", "Result"}),
		olderAnswers: factory.NewCounter(prometheus.CounterOpts{
			Name: "dotterelusher_configuration_old_total",
			Help: "Answers that held an older revision than the one in force.",
		}),
	}
}
