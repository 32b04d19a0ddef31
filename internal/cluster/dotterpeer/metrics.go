package dotterpeer

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the mesh's collectors.
type Metrics struct {
	links            prometheus.Gauge
	bytesSent        prometheus.Counter
	bytesReceived    prometheus.Counter
	messagesSent     prometheus.Counter
	messagesReceived prometheus.Counter
	silent           prometheus.Counter
}

// NewMetrics registers the mesh's collectors with registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		registerer.MustRegister(c)
		return c
	}
	links := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "dotterelusher_peer_links",
		Help: "Links to other entry hosts.",
	})
	registerer.MustRegister(links)
	return &Metrics{
		links:            links,
		bytesSent:        counter("dotterelusher_peer_sent_bytes_total", "Bytes sent to other entry hosts."),
		bytesReceived:    counter("dotterelusher_peer_received_bytes_total", "Bytes received from other entry hosts."),
		messagesSent:     counter("dotterelusher_peer_sent_messages_total", "Messages sent to other entry hosts."),
		messagesReceived: counter("dotterelusher_peer_received_messages_total", "Messages received from other entry hosts."),
		silent:           counter("dotterelusher_peer_silent_links_total", "Links closed because no heartbeat came."),
	}
}
