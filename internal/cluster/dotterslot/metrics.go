package dotterslot

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Metrics holds the Prometheus collectors of a Ledger.
type Metrics struct {
	epoch        prometheus.Gauge
	acknowledged prometheus.Gauge
	openEpochs   prometheus.Gauge
	usableSlots  prometheus.Gauge
	excess       prometheus.Gauge
}

// NewMetrics creates the collectors and registers them with registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	factory := promauto.With(registerer)
	gauge := func(name, help string) prometheus.Gauge {
		return factory.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
	}
	return &Metrics{
		epoch:        gauge("dotterelusher_membership_epoch", "Membership epoch adopted."),
		acknowledged: gauge("dotterelusher_membership_acknowledged_epoch", "Membership epoch acknowledged."),
		openEpochs:   gauge("dotterelusher_membership_open_epochs", "Earlier epochs that some member has not let go of."),
		usableSlots:  gauge("dotterelusher_slots_usable", "Slots of backend servers that this entry host may use."),
		excess:       gauge("dotterelusher_slots_stray", "Slots and connections in use that another entry host is to have."),
	}
}

// observe sets the gauges. The caller holds the ledger's lock.
func (m *Metrics) observe(l *Ledger) {
	if m == nil {
		return
	}
	usable := 0
	for _, s := range *l.servers.Load() {
		u, _ := s.slots.counts()
		usable += u
	}
	m.epoch.Set(float64(l.view.Current.Number))
	m.acknowledged.Set(float64(l.acknowledged))
	m.openEpochs.Set(float64(len(l.view.Open)))
	m.usableSlots.Set(float64(usable))
	m.excess.Set(float64(l.excess.Load()))
}
