package dotterpeer

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Metrics holds the Prometheus collectors of a Mesh.
type Metrics struct {
	links            prometheus.Gauge
	bytesSent        prometheus.Counter
	bytesReceived    prometheus.Counter
	messagesSent     prometheus.Counter
	messagesReceived prometheus.Counter
	silentLinks      prometheus.Counter
}

// NewMetrics registers the collectors of a Mesh with registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	factory := promauto.With(registerer)
	counter := func(name, help string) prometheus.Counter {
		return factory.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	return &Metrics{
		links: factory.NewGauge(prometheus.GaugeOpts{
			Name: "dotterelusher_peer_links",
			Help: "Links to other entry hosts.",
		}),
		bytesSent:        counter("dotterelusher_peer_sent_bytes_total", "Bytes sent to other entry hosts."),
		bytesReceived:    counter("dotterelusher_peer_received_bytes_total", "Bytes received from other entry hosts."),
		messagesSent:     counter("dotterelusher_peer_sent_messages_total", "Messages sent to other entry hosts."),
		messagesReceived: counter("dotterelusher_peer_received_messages_total", "Messages received from other entry hosts."),
		silentLinks:      counter("dotterelusher_peer_silent_links_total", "Links closed because no heartbeat came."),
	}
}
