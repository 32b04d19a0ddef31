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

const readsSpan = 5 * dotterclock.Second

// BenchmarkConfigurationSpread reports how long a change takes until it is in
// force on every node, with working and with silent watches, and how many reads
// of the store and questions to peers the proofs of freshness cost.
func BenchmarkConfigurationSpread(b *testing.B) {
	for _, nodes := range []int{8, 24, 72} {
		for _, silent := range []bool{false, true} {
			b.Run(fmt.Sprintf("Nodes=%d/SilentWatch=%v", nodes, silent), func(b *testing.B) {
				store := dottermemory.New(dotterclock.NewSystem())
				all := startSpread(b, store, nodes)
				store.SetSilent(silent)
				change := 0
				for b.Loop() {
					change++
					spread(b, store, all, change)
				}
				b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms/change")
				reportReads(b, all)
			})
		}
	}
}

func startSpread(b *testing.B, store *dottermemory.Store, nodes int) []*node {
	var all []*node
	var addresses []string
	for i := range nodes {
		n := startNode(b, fmt.Sprintf("host-%02d", i), fmt.Sprintf("domain-%d", i%3), store)
		all = append(all, n)
		addresses = append(addresses, n.address())
	}
	for _, n := range all {
		n.mesh.SetAddresses(addresses)
	}
	for _, n := range all {
		require.Eventually(b, func() bool { return len(n.mesh.Live()) == nodes-1 }, patience, look)
	}
	return all
}

// spread makes a change and waits until it is in force everywhere.
func spread(b *testing.B, store *dottermemory.Store, all []*node, change int) {
	edit(b, store, setDomain(fmt.Sprint("change-", change), "domain-0", change%2 == 0))
	for _, n := range all {
		for !n.has(int64(change))() {
			time.Sleep(time.Millisecond)
		}
	}
}

func reportReads(b *testing.B, all []*node) {
	count := func(source string) (sum float64) {
		for _, n := range all {
			sum += testutil.ToFloat64(n.holder.metrics.reads.WithLabelValues(source, "Done"))
		}
		return sum
	}
	reads, questions := count("Store"), count("Peer")
	time.Sleep(readsSpan.Duration())
	b.ReportMetric((count("Store")-reads)/readsSpan.Seconds(), "reads/s")
	b.ReportMetric((count("Peer")-questions)/readsSpan.Seconds(), "questions/s")
}
