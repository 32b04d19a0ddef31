package dotterfailure

import (
	"testing"
	"time"

	"github.com/dotterelusher/dotterelusher/internal/standin/dotterfault"
	"github.com/dotterelusher/dotterelusher/internal/testing/dotterharness"
)

// pastLease is longer than the store lease of the daemons in these tests.
const pastLease = 4 * time.Second

// callerCount is the number of callers that keep the slots of both backend servers occupied.
const callerCount = 60

// hostFailures are failures of entry hosts while callers keep the slots occupied.
var hostFailures = map[string]func(c *dotterharness.Cluster){
	"killed and restarted at the same address": func(c *dotterharness.Cluster) {
		h := c.Host("a", 0)
		h.Kill()
		c.Start(h)
		c.AwaitReady(h)
	},
	"killed and removed, then replaced": func(c *dotterharness.Cluster) {
		h := c.Host("a", 0)
		c.Remove(h)
		time.Sleep(pastLease)
		c.Start(h)
		c.AwaitReady(h)
	},
	"frozen past the lease and resumed": func(c *dotterharness.Cluster) {
		h := c.Host("a", 0)
		h.Freeze()
		time.Sleep(pastLease)
		h.Resume()
		c.AwaitReady(h)
	},
	"leaves and joins": func(c *dotterharness.Cluster) {
		h := c.Host("a", 0)
		h.Terminate()
		<-h.Ended()
		c.Start(h)
		c.AwaitReady(h)
	},
	"store unavailable while one is killed": func(c *dotterharness.Cluster) {
		h := c.Host("a", 0)
		c.Fault(dotterfault.PathStore, dotterfault.Store{Outage: dotterfault.OutageHang})
		h.Kill()
		time.Sleep(pastLease)
		c.Fault(dotterfault.PathStore, dotterfault.Store{})
		c.Start(h)
		c.AwaitReady(h)
	},
	"frozen while the store loses answers": func(c *dotterharness.Cluster) {
		h := c.Host("a", 0)
		c.Fault(dotterfault.PathStore, dotterfault.Store{LoseProbability: 0.3})
		h.Freeze()
		time.Sleep(pastLease)
		h.Resume()
		c.Fault(dotterfault.PathStore, dotterfault.Store{})
		c.AwaitReady(h)
	},
	"one frozen, the other killed": func(c *dotterharness.Cluster) {
		frozen, killed := c.Host("a", 0), c.Host("a", 1)
		frozen.Freeze()
		killed.Kill()
		time.Sleep(pastLease)
		frozen.Resume()
		c.Start(killed)
		c.AwaitReady(frozen)
		c.AwaitReady(killed)
	},
}

// TestSlotLimitsWhileEntryHostsFail keeps the slots occupied while entry hosts
// fail. It checks that no limit is exceeded, that every answer agrees with the
// recorded executions, and that requests continue to be served.
func TestSlotLimitsWhileEntryHostsFail(t *testing.T) {
	for name, fail := range hostFailures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := dotterharness.NewCluster(t, oneDomain(3))
			load := startTraffic(c, "clearance", callerCount)
			load.awaitMore(200)
			fail(c)
			load.awaitMore(500)
			assertAnswers(t, c, load.end(), false)
		})
	}
}

// oneDomain returns a cluster of one failure domain with the given number of entry hosts.
func oneDomain(entryHosts int) dotterharness.Options {
	o := dotterharness.DefaultOptions()
	o.FailureDomains = []string{"a"}
	o.Configuration = dotterharness.Configuration("a")
	o.EntryHosts = entryHosts
	return o
}
