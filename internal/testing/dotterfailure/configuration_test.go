package dotterfailure

import (
	"maps"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterfault"
	"github.com/dotterelusher/dotterelusher/internal/testing/dotterharness"
)

// forceSpan is how soon an accepted configuration is in force everywhere.
const forceSpan = 6 * dotterclock.Second

// storeFaults are what is wrong with the store while operators change the
// configuration, and how many changes they make meanwhile: while reads answer
// old values only the first change can be based on what is there.
var storeFaults = map[string]struct {
	fault   dotterfault.Store
	changes int
}{
	"whole":          {changes: 3},
	"silent watches": {fault: dotterfault.Store{SilentWatches: true}, changes: 3},
	"lost answers":   {fault: dotterfault.Store{LoseProbability: 0.5}, changes: 3},
	"old values":     {fault: dotterfault.Store{Stale: true}, changes: 1},
	"slow":           {fault: dotterfault.Store{DelayMillis: 300}, changes: 3},
}

// TestConfigurationComesIntoForce wants each accepted change in force on every
// host within its span, and no host ever to go back.
func TestConfigurationComesIntoForce(t *testing.T) {
	t.Parallel()
	c := dotterharness.NewCluster(t, dotterharness.DefaultOptions())
	seen := map[string]int64{}
	out := true
	for _, name := range slices.Sorted(maps.Keys(storeFaults)) {
		c.Fault(dotterfault.PathStore, storeFaults[name].fault)
		for range storeFaults[name].changes {
			revision := trySetDomain(c, c.Hosts[0], "c", out)
			out = !out
			at := c.Truth().Now
			c.Await("the change is in force everywhere, store: "+name, func() bool { return inForce(t, c, revision, seen) })
			assert.LessOrEqual(t, c.Truth().Now-at, forceSpan, "store: %s", name)
		}
		c.Fault(dotterfault.PathStore, dotterfault.Store{})
	}
	c.Await("every host stays at the newest", func() bool { return inForce(t, c, seen[c.Hosts[0].Name()], seen) })
}

// trySetDomain changes a domain until the change is accepted.
func trySetDomain(c *dotterharness.Cluster, h *dotterharness.EntryHost, domain string, out bool) int64 {
	var revision int64
	c.Await("the change is accepted", func() bool {
		document, err := c.Configuration(h)
		if err != nil {
			return false
		}
		before, _ := document.FailureDomain(domain)
		if before.Out == out {
			revision = document.Revision
			return true
		}
		after := before
		after.Out = out
		edit, err := dotterconfig.NewEdit("FailureDomains/"+domain, before, after)
		if err != nil {
			return false
		}
		revision, err = c.Edit(h, edit)
		return err == nil
	})
	return revision
}

// inForce reports whether every host has the revision, and checks that none went back.
func inForce(t *testing.T, c *dotterharness.Cluster, revision int64, seen map[string]int64) bool {
	t.Helper()
	everywhere := true
	for _, h := range c.Hosts {
		document, err := c.Configuration(h)
		require.NoError(t, err)
		require.GreaterOrEqual(t, document.Revision, seen[h.Name()], "%s went back", h.Name())
		seen[h.Name()] = document.Revision
		everywhere = everywhere && document.Revision >= revision
	}
	return everywhere
}

// TestRacingOperators wants exactly one of several conflicting changes to be accepted each time.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	c := dotterharness.NewCluster(t, oneDomain(3))
	document, err := c.Configuration(c.Hosts[0])
	require.NoError(t, err)
	for round := range 10 {
		before, _ := document.Template("refresh")
		var mu sync.Mutex
		accepted := 0
		var all sync.WaitGroup
		for i, h := range c.Hosts {
			after := before
			after.TargetMillis = dotterclock.Millis(1000 + 10*round + i)
			edit, err := dotterconfig.NewEdit("Templates/refresh", before, after)
			require.NoError(t, err)
			all.Go(func() {
				_, err := c.Edit(h, edit)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					accepted++
				}
			})
		}
		all.Wait()
		require.Equal(t, 1, accepted, "round %d", round)
		revision := document.Revision + 1
		c.Await("the change is in force everywhere", func() bool { return inForce(t, c, revision, map[string]int64{}) })
		document, err = c.Configuration(c.Hosts[0])
		require.NoError(t, err)
	}
}

// TestRestartDuringOutage wants a restarted host to take the configuration from a peer.
func TestRestartDuringOutage(t *testing.T) {
	t.Parallel()
	c := dotterharness.NewCluster(t, oneDomain(2))
	h := c.Host("a", 0)
	revision := c.SetDomain(h, "a", true)
	// An edit through a host that lacks the previous one is refused as a conflict.
	c.Await("the first change is in force everywhere", func() bool { return inForce(t, c, revision, map[string]int64{}) })
	revision = max(revision, c.SetDomain(h, "a", false))
	c.Await("the change is in force everywhere", func() bool { return inForce(t, c, revision, map[string]int64{}) })
	c.Fault(dotterfault.PathStore, dotterfault.Store{Outage: dotterfault.OutageHang})
	h.Kill()
	c.Start(h)
	c.Await("the configuration came from a peer", func() bool {
		document, err := c.Configuration(h)
		return err == nil && document.Revision == revision
	})
}
