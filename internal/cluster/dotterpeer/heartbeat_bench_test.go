package dotterpeer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	measuredTime = 12 * dotterclock.Second
	loadInterval = 500 * time.Millisecond
)

// BenchmarkHeartbeats measures the traffic and CPU time per node when the mesh
// carries only heartbeats and the load of every node changes twice a second. One
// iteration measures for measuredTime.
func BenchmarkHeartbeats(b *testing.B) {
	sizes := map[string]struct{ nodes, domains int }{
		"Nodes=08/Domains=3": {8, 3},
		"Nodes=24/Domains=3": {24, 3},
		"Nodes=72/Domains=6": {72, 6},
		"Nodes=96/Domains=6": {96, 6},
	}
	for name, size := range sizes {
		b.Run(name, func(b *testing.B) {
			meshes := startMeshes(b, size.nodes, size.domains)
			stop := make(chan struct{})
			go changeLoad(meshes, stop)
			b.ResetTimer()
			for b.Loop() {
				time.Sleep(1 * time.Second)
				bytes, messages := traffic(meshes)
				cpu := cpuSeconds(b)
				time.Sleep(measuredTime.Duration())
				bytesAfter, messagesAfter := traffic(meshes)
				nodeSeconds := measuredTime.Seconds() * float64(size.nodes)
				b.ReportMetric(100*(cpuSeconds(b)-cpu)/nodeSeconds, "core-%/node")
				b.ReportMetric((bytesAfter-bytes)/nodeSeconds, "bytes/s/node")
				b.ReportMetric((messagesAfter-messages)/nodeSeconds, "messages/s/node")
			}
			close(stop)
		})
	}
}

func startMeshes(b *testing.B, nodes, domains int) []*Mesh {
	var meshes []*Mesh
	var addresses []string
	for i := range nodes {
		m := newMesh(b, Identity{
			Name:          fmt.Sprintf("host-%02d", i),
			FailureDomain: fmt.Sprintf("domain-%d", i%domains),
			CallerAddress: "127.0.0.1:1",
		})
		meshes = append(meshes, m)
		addresses = append(addresses, m.Identity().Address)
	}
	for i, m := range meshes {
		m.SetAddresses(addresses)
		shard := fmt.Sprintf("domain-%d/%d", i%domains, i/domains)
		m.Announce(func(s State) State {
			return s.WithRevision(1000).WithMembership(1764800000000, 12, 12).WithShards([]string{shard}).WithFreeSlots(60)
		})
		m.Start()
	}
	for _, m := range meshes {
		require.Eventually(b, hasPeers(m, nodes-1), waitTimeout, pollInterval)
	}
	return meshes
}

// changeLoad announces a random number of free slots on every node once per
// loadInterval, until stop is closed.
func changeLoad(meshes []*Mesh, stop chan struct{}) {
	random := rand.New(rand.NewPCG(1, 1))
	for {
		for _, m := range meshes {
			free := 40 + random.IntN(40)
			m.Announce(func(s State) State { return s.WithFreeSlots(free) })
		}
		select {
		case <-stop:
			return
		case <-time.After(loadInterval):
		}
	}
}

// traffic returns the total bytes and messages that all meshes have sent and
// received.
func traffic(meshes []*Mesh) (bytes, messages float64) {
	for _, m := range meshes {
		bytes += testutil.ToFloat64(m.metrics.bytesSent) + testutil.ToFloat64(m.metrics.bytesReceived)
		messages += testutil.ToFloat64(m.metrics.messagesSent) + testutil.ToFloat64(m.metrics.messagesReceived)
	}
	return bytes, messages
}

// cpuSeconds returns the CPU time that this process has used.
func cpuSeconds(b *testing.B) float64 {
	var usage unix.Rusage
	require.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9
}
