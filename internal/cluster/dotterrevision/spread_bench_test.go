package dotterrevision

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/platform/dottermemory"
)

const measuredTime = 5 * dotterclock.Second

// BenchmarkConfigurationSpread measures how long a change takes to be in force on
// every node, with working and with silent watches, and how many reads of the store
// and requests to peers the proofs of freshness cost.
func BenchmarkConfigurationSpread(b *testing.B) {
	for _, nodes := range []int{8, 24, 72, 96} {
		domains := 3
		if nodes > 24 {
			domains = 6
		}
		for _, silent := range []bool{false, true} {
			b.Run(fmt.Sprintf("Nodes=%d/SilentWatch=%v", nodes, silent), func(b *testing.B) {
				store := dottermemory.New(dotterclock.NewSystem())
				all := startNodes(b, store, nodes, domains)
				store.SetSilent(silent)
				change := 0
				for b.Loop() {
					change++
					propagate(b, store, all, change)
				}
				b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms/change")
				reportReads(b, all)
			})
		}
	}
}

func startNodes(b *testing.B, store *dottermemory.Store, nodes, domains int) []*node {
	var all []*node
	var addresses []string
	for i := range nodes {
		n := startNode(b, fmt.Sprintf("host-%02d", i), fmt.Sprintf("domain-%d", i%domains), store)
		all = append(all, n)
		addresses = append(addresses, n.address())
	}
	for _, n := range all {
		n.mesh.SetAddresses(addresses)
	}
	for _, n := range all {
		require.Eventually(b, func() bool { return len(n.mesh.Live()) == nodes-1 }, waitTimeout, pollInterval)
	}
	return all
}

// propagate makes a change and waits until it is in force on every node.
func propagate(b *testing.B, store *dottermemory.Store, all []*node, change int) {
	edit(b, store, setDomain(fmt.Sprint("change-", change), "domain-0", change%2 == 0))
	for _, n := range all {
		for !n.hasRevision(int64(change))() {
			time.Sleep(time.Millisecond)
		}
	}
}

// reportReads reports the rates of reads of the store and of requests to peers, and
// the traffic between the nodes, over measuredTime.
func reportReads(b *testing.B, all []*node) {
	count := func(source string) (sum float64) {
		for _, n := range all {
			sum += testutil.ToFloat64(n.tracker.metrics.reads.WithLabelValues(source, "Done"))
		}
		return sum
	}
	reads, requests := count("Store"), count("Peer")
	before := make([]float64, len(all))
	for i, n := range all {
		before[i] = n.bytes(b)
	}
	time.Sleep(measuredTime.Duration())
	maxBytes, sum := 0.0, 0.0
	for i, n := range all {
		bytes := n.bytes(b) - before[i]
		maxBytes = max(maxBytes, bytes)
		sum += bytes
	}
	seconds := measuredTime.Seconds()
	b.ReportMetric((count("Store")-reads)/seconds, "reads/s")
	b.ReportMetric((count("Peer")-requests)/seconds, "questions/s")
	b.ReportMetric(sum/seconds/float64(len(all)), "bytes/s/node")
	b.ReportMetric(maxBytes/seconds, "bytes/s/busiest")
}

// bytes returns the number of bytes that the node has sent to and received from
// peers.
func (n *node) bytes(b *testing.B) float64 {
	families, err := n.registry.Gather()
	require.NoError(b, err)
	sum := 0.0
	for _, f := range families {
		if name := f.GetName(); name == "dotterelusher_peer_sent_bytes_total" || name == "dotterelusher_peer_received_bytes_total" {
			sum += f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return sum
}
