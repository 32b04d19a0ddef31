package dottermember

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Metrics holds the Prometheus collectors of a Membership.
type Metrics struct {
	members prometheus.Gauge
	changes *prometheus.CounterVec
}

// NewMetrics creates the collectors and registers them with registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	factory := promauto.With(registerer)
	return &Metrics{
		members: factory.NewGauge(prometheus.GaugeOpts{
			Name: "dotterelusher_members",
			Help: "Members of this failure domain in the record last read.",
		}),
		changes: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterelusher_membership_changes_total",
			Help: "Changes of the record that this process made, by kind.",
		}, []string{"Kind"}),
	}
}
