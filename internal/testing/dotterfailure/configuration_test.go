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

// inForceDeadline is the time within which an accepted configuration must be in
// force on every host.
const inForceDeadline = 6 * dotterclock.Second

// storeFaults are the faults of the store while operators edit the
// configuration, with the number of edits under each. While reads return old
// values, only the first edit can be based on the current configuration.
var storeFaults = map[string]struct {
	fault   dotterfault.Store
	changes int
}{
	"without faults": {changes: 3},
	"silent watches": {fault: dotterfault.Store{SilentWatches: true}, changes: 3},
	"lost answers":   {fault: dotterfault.Store{LoseProbability: 0.5}, changes: 3},
	"old values":     {fault: dotterfault.Store{Stale: true}, changes: 1},
	"slow":           {fault: dotterfault.Store{DelayMillis: 300}, changes: 3},
}

// TestConfigurationComesIntoForce checks that each accepted edit is in force on
// every host within inForceDeadline, and that no host returns to an older
// revision.
func TestConfigurationComesIntoForce(t *testing.T) {
	t.Parallel()
	c := dotterharness.NewCluster(t, dotterharness.DefaultOptions())
	seen := map[string]int64{}
	out := true
	for _, name := range slices.Sorted(maps.Keys(storeFaults)) {
		c.Fault(dotterfault.PathStore, storeFaults[name].fault)
		for range storeFaults[name].changes {
			revision := setDomainWithRetry(c, c.Hosts[0], "c", out)
			out = !out
			at := c.Truth().Now
			c.Await("the change is in force everywhere, store: "+name, func() bool { return inForce(t, c, revision, seen) })
			assert.LessOrEqual(t, c.Truth().Now-at, inForceDeadline, "store: %s", name)
		}
		c.Fault(dotterfault.PathStore, dotterfault.Store{})
	}
	c.Await("every host has the newest revision", func() bool { return inForce(t, c, seen[c.Hosts[0].Name()], seen) })
}

// setDomainWithRetry takes a failure domain out of service, or back in, and
// retries until the edit is accepted.
func setDomainWithRetry(c *dotterharness.Cluster, h *dotterharness.EntryHost, domain string, out bool) int64 {
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

// inForce reports whether every host has reached the revision. It also checks
// that no host has a lower revision than recorded in seen, and updates seen.
func inForce(t *testing.T, c *dotterharness.Cluster, revision int64, seen map[string]int64) bool {
	t.Helper()
	everywhere := true
	for _, h := range c.Hosts {
		document, err := c.Configuration(h)
		require.NoError(t, err)
		require.GreaterOrEqual(t, document.Revision, seen[h.Name()], "%s returned to an older revision", h.Name())
		seen[h.Name()] = document.Revision
		everywhere = everywhere && document.Revision >= revision
	}
	return everywhere
}

// TestConflictingEdits checks that exactly one of several concurrent
// conflicting edits is accepted.
func TestConflictingEdits(t *testing.T) {
	t.Parallel()
	c := dotterharness.NewCluster(t, oneDomain(3))
	document, err := c.Configuration(c.Hosts[0])
	require.NoError(t, err)
	for round := range 10 {
		before, _ := document.Template("refresh")
		var mu sync.Mutex
		accepted := 0
		var edits sync.WaitGroup
		for i, h := range c.Hosts {
			after := before
			after.TargetMillis = dotterclock.Millis(1000 + 10*round + i)
			edit, err := dotterconfig.NewEdit("Templates/refresh", before, after)
			require.NoError(t, err)
			edits.Go(func() {
				_, err := c.Edit(h, edit)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					accepted++
				}
			})
		}
		edits.Wait()
		require.Equal(t, 1, accepted, "round %d", round)
		revision := document.Revision + 1
		c.Await("the change is in force everywhere", func() bool { return inForce(t, c, revision, map[string]int64{}) })
		document, err = c.Configuration(c.Hosts[0])
		require.NoError(t, err)
	}
}

// TestRestartDuringOutage checks that a host restarted during a store outage
// obtains the configuration from a peer.
func TestRestartDuringOutage(t *testing.T) {
	t.Parallel()
	c := dotterharness.NewCluster(t, oneDomain(2))
	h := c.Host("a", 0)
	revision := c.SetDomain(h, "a", true)
	// An edit through a host that has not yet received the previous edit is
	// refused as a conflict.
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
