package dottermeter

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// Metric names that other packages look up in gathered metrics.
const (
	NameRetries = "dotterelusher_request_retries_total"
	NameHedges  = "dotterelusher_request_hedges_total"
)

// Label names.
const (
	labelTemplate = "Template"
	labelOutcome  = "Outcome"
	labelReason   = "Reason"
)

// latencyBuckets holds the upper bounds of the latency histogram, in seconds.
var latencyBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

// Meter holds the metrics of service requests.
type Meter struct {
	InFlight prometheus.Gauge
	Retries  prometheus.Counter
	Hedges   prometheus.Counter
	Forwards prometheus.Counter

	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

// New creates the metrics and registers them with registerer. The callback
// queued returns the total number of requests in all queues.
func New(registerer prometheus.Registerer, queued func() int) (*Meter, error) {
	m := &Meter{
		InFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "dotterelusher_requests_in_progress",
			Help: "Service requests in progress on this host.",
		}),
		Retries:  newCounter(NameRetries, "Service requests sent again."),
		Hedges:   newCounter(NameHedges, "Slow service requests sent a second time."),
		Forwards: newCounter("dotterelusher_request_forwards_total", "Service requests forwarded to another failure domain."),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "dotterelusher_requests_total",
			Help: "Service requests by template, outcome and reason.",
		}, []string{labelTemplate, labelOutcome, labelReason}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "dotterelusher_request_seconds",
			Help:    "Time from a service request's arrival to its answer, in seconds.",
			Buckets: latencyBuckets,
		}, []string{labelTemplate, labelOutcome}),
	}
	queueLength := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "dotterelusher_requests_waiting",
		Help: "Service requests that wait for a slot on this host.",
	}, func() float64 { return float64(queued()) })
	collectors := []prometheus.Collector{m.InFlight, m.Retries, m.Hedges, m.Forwards, m.requests, m.latency, queueLength}
	for _, c := range collectors {
		err := registerer.Register(c)
		if err != nil {
			return nil, err
		}
	}
	return m, nil
}

// Observe records the outcome and the latency of a completed request.
func (m *Meter) Observe(template string, outcome dotteroutcome.Outcome, reason dotterrequest.Reason, latency dotterclock.Millis) {
	m.requests.WithLabelValues(template, string(outcome), string(reason)).Inc()
	m.latency.WithLabelValues(template, string(outcome)).Observe(latency.Seconds())
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}
