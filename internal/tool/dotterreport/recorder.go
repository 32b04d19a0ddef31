package dotterreport

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	lowestMicros       = 1
	highestMicros      = 10 * 60 * 1_000_000
	significantFigures = 3
)

// Recorder collects the results of a run; it is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	rows   map[rowKey]*hdrhistogram.Histogram
	lag    *hdrhistogram.Histogram
	unsent int64
	start  time.Time
}

// rowKey identifies the histogram of one request kind and outcome.
type rowKey struct {
	kind    string
	outcome string
}

// NewRecorder returns an empty recorder; the run starts now.
func NewRecorder() *Recorder {
	return &Recorder{
		rows:  make(map[rowKey]*hdrhistogram.Histogram),
		lag:   newHistogram(),
		start: time.Now(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantFigures)
}

// Record adds the latency of a request of kind that ended with outcome.
func (r *Recorder) Record(kind, outcome string, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := rowKey{kind: kind, outcome: outcome}
	h := r.rows[key]
	if h == nil {
		h = newHistogram()
		r.rows[key] = h
	}
	_ = h.RecordValue(clamp(latency))
}

// RecordLag adds the delay between the time at which a request was due and the time
// at which the generator came to it.
func (r *Recorder) RecordLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.lag.RecordValue(clamp(lag))
}

// RecordUnsent counts a request that was due but not sent, because too many were outstanding.
func (r *Recorder) RecordUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}

// clamp converts duration to microseconds within the range of the histograms.
func clamp(duration time.Duration) int64 {
	return min(max(duration.Microseconds(), lowestMicros), highestMicros)
}

// QuantileMillis returns a quantile (0 to 1) of the latency of all requests of
// kind. Requests with any other outcome count as slower than all those that ended
// with outcome; ok is false if the quantile falls among them.
func (r *Recorder) QuantileMillis(kind, outcome string, quantile float64) (millis float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all int64
	for key, h := range r.rows {
		if key.kind == kind {
			all += h.TotalCount()
		}
	}
	h := r.rows[rowKey{kind: kind, outcome: outcome}]
	rank := quantile * float64(all)
	if h == nil || rank > float64(h.TotalCount()) {
		return 0, false
	}
	return float64(h.ValueAtQuantile(100*rank/float64(h.TotalCount()))) / 1000, true
}

// Report summarizes the results recorded so far.
func (r *Recorder) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{
		Seconds:   time.Since(r.start).Seconds(),
		Unsent:    r.unsent,
		Generator: summarize(r.lag),
	}
	for key, h := range r.rows {
		report.Rows = append(report.Rows, Row{Kind: key.kind, Outcome: key.outcome, Summary: summarize(h)})
	}
	sort.Slice(report.Rows, func(i, j int) bool {
		a, b := report.Rows[i], report.Rows[j]
		if a.Kind != b.Kind {
			return a.Kind < b.Kind
		}
		return a.Outcome < b.Outcome
	})
	return report
}

func summarize(h *hdrhistogram.Histogram) Summary {
	millis := func(percentile float64) float64 {
		return float64(h.ValueAtQuantile(percentile)) / 1000
	}
	return Summary{
		Count:      h.TotalCount(),
		MeanMillis: h.Mean() / 1000,
		P50Millis:  millis(50),
		P90Millis:  millis(90),
		P99Millis:  millis(99),
		P999Millis: millis(99.9),
		MaxMillis:  float64(h.Max()) / 1000,
	}
}
