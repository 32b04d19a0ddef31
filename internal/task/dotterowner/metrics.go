package dotterowner

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the collectors shared by all shards of one process.
type Metrics struct {
	Commits        *prometheus.CounterVec // by Outcome
	Bytes          prometheus.Counter
	Records        prometheus.Counter
	Starts         *prometheus.CounterVec // by Outcome
	Ends           *prometheus.CounterVec // by State
	Evictions      prometheus.Counter
	Moves          prometheus.Counter
	Refusals       prometheus.Counter
	QueueLen       *prometheus.GaugeVec // by Shard
	RunningLen     *prometheus.GaugeVec // by Shard
	PreassignedLen *prometheus.GaugeVec // by Shard
}

// NewMetrics returns collectors that are registered with registerer.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		Commits:        counters("task_log_writes_total", "Writes of shard logs by outcome.", "Outcome"),
		Bytes:          counter("task_log_bytes_total", "Bytes of written segments."),
		Records:        counter("task_log_records_total", "Records in written segments."),
		Starts:         counters("task_starts_total", "Start commands by outcome.", "Outcome"),
		Ends:           counters("task_ends_total", "Ends of attempts by the state that the task went to.", "State"),
		Evictions:      counter("task_evictions_total", "Running tasks told to checkpoint and stop."),
		Moves:          counter("task_moves_total", "Tasks that another shard took over."),
		Refusals:       counter("task_refusals_total", "Submitted tasks that were refused."),
		QueueLen:       gauges("task_queue_length", "Tasks that wait."),
		RunningLen:     gauges("task_running", "Attempts that hold room."),
		PreassignedLen: gauges("task_ahead", "Attempts reserved ahead."),
	}
	registerer.MustRegister(m.Commits, m.Bytes, m.Records, m.Starts, m.Ends, m.Evictions, m.Moves, m.Refusals,
		m.QueueLen, m.RunningLen, m.PreassignedLen)
	return m
}

const metricsNamespace = "dotterelusher"

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help})
}

func counters(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}, []string{label})
}

func gauges(name, help string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help}, []string{"Shard"})
}
