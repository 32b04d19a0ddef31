package dotterfailure

import (
	"testing"
	"time"

	"github.com/dotterelusher/dotterelusher/internal/standin/dotterfault"
	"github.com/dotterelusher/dotterelusher/internal/testing/dotterharness"
)

// pastLease is longer than the store lease of a harness's daemon.
const pastLease = 4 * time.Second

// callers is the number of callers that keep two backend servers of a domain full.
const callers = 60

// hostFailures are what befalls entry hosts while callers keep the slots full.
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
	"frozen past the lease and thawed": func(c *dotterharness.Cluster) {
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
	"store away while one is killed": func(c *dotterharness.Cluster) {
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

// TestSlotsHoldWhileEntryHostsFail keeps the slots full while hosts fail, and
// wants every limit kept, every answer right and the service to go on.
func TestSlotsHoldWhileEntryHostsFail(t *testing.T) {
	for name, fail := range hostFailures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := dotterharness.NewCluster(t, oneDomain(3))
			load := startTraffic(c, "clearance", callers)
			load.awaitMore(200)
			fail(c)
			load.awaitMore(500)
			judgeAnswers(t, c, load.end(), false)
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
