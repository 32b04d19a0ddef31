package dottercapacity

import (
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/testing/dotterharness"
)

// sample is the total resource usage of all entry hosts up to a point in time.
type sample struct {
	at        time.Time
	cpu       float64 // seconds
	resident  float64 // bytes
	peerBytes float64
	requests  float64
	reads     float64 // store calls that read, watches included
	writes    float64
}

// takeSample adds up the metrics of all entry hosts and the store calls counted
// by the stand-in.
func takeSample(t testing.TB, c *dotterharness.Cluster) sample {
	s := sample{at: time.Now()}
	for _, h := range c.Hosts {
		addMetrics(t, &s, h.Settings.OperatorListen)
	}
	for kind, count := range c.Truth().Store.ByKind {
		switch kind {
		case "Get", "List", "Watch":
			s.reads += float64(count)
		default:
			s.writes += float64(count)
		}
	}
	return s
}

func addMetrics(t testing.TB, s *sample, address string) {
	response, err := http.Get("http://" + address + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(response.Body)
	require.NoError(t, err)
	sum := func(name string) float64 {
		total := 0.0
		for _, m := range families[name].GetMetric() {
			total += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
		return total
	}
	s.cpu += sum("process_cpu_seconds_total")
	s.resident += sum("process_resident_memory_bytes")
	s.peerBytes += sum("dotterelusher_peer_sent_bytes_total") + sum("dotterelusher_peer_received_bytes_total")
	s.requests += sum("dotterelusher_requests_total")
}

// report reports the average usage of an entry host and the rates of store calls
// and requests between two samples.
func report(b *testing.B, hosts int, from, to sample) {
	seconds := to.at.Sub(from.at).Seconds()
	n := float64(hosts)
	b.ReportMetric(100*(to.cpu-from.cpu)/seconds/n, "cpu%/host")
	b.ReportMetric(to.resident/n/(1<<20), "MB/host")
	b.ReportMetric((to.peerBytes-from.peerBytes)/seconds/n/1024, "peerKB/s/host")
	b.ReportMetric((to.reads-from.reads)/seconds, "reads/s")
	b.ReportMetric((to.writes-from.writes)/seconds, "writes/s")
	if to.requests > from.requests {
		b.ReportMetric((to.requests-from.requests)/seconds, "requests/s")
		b.ReportMetric(1e6*(to.cpu-from.cpu)/(to.requests-from.requests), "cpu-us/request")
	}
	b.ReportMetric(0, "ns/op")
}
