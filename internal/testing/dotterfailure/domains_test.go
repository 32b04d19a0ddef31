package dotterfailure

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
	"github.com/dotterelusher/dotterelusher/internal/model/dottersubmission"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterfault"
	"github.com/dotterelusher/dotterelusher/internal/standin/dottertruth"
	"github.com/dotterelusher/dotterelusher/internal/testing/dotterharness"
)

// outSpan is how long after an accepted domain-out work may still start there.
const outSpan = 3 * dotterclock.Second

// TestDomainOutAndIn wants no request to start in a domain three seconds after
// it was taken out, its callers to be served elsewhere, and load to return.
func TestDomainOutAndIn(t *testing.T) {
	t.Parallel()
	options := dotterharness.DefaultOptions()
	options.EntryHosts = 1
	c := dotterharness.NewCluster(t, options)
	load := startTraffic(c, "refresh", 12)
	load.awaitMore(200)
	c.SetDomain(c.Host("b", 0), "a", true)
	at := c.Truth().Now
	c.Await("the span is over", func() bool { return c.Truth().Now > at+outSpan+1000 })
	load.awaitMore(300)
	assert.LessOrEqual(t, lastRequest(c.Truth(), "a"), at+outSpan, "a request started in the domain that is out")
	c.SetDomain(c.Host("b", 0), "a", false)
	back := c.Truth().Now
	c.Await("requests run in the domain again", func() bool { return lastRequest(c.Truth(), "a") > back })
	judgeAnswers(t, c, load.end(), true)
}

// TestDomainOutWhileHostIsFrozen wants the promise kept by an owner that was
// frozen while its domain was taken out, with work still in its queue.
func TestDomainOutWhileHostIsFrozen(t *testing.T) {
	t.Parallel()
	c := dotterharness.NewCluster(t, twoDomains())
	batch := submit(t, c, c.Host("a", 0), "reweighting", 60, func(s *dottersubmission.Submission) { s.RunMillis = 1500 })
	c.Await("tasks run", func() bool { return len(c.Truth().Runs) > 0 })
	domain, owner, other := "a", c.Host("a", 0), c.Host("b", 0)
	if c.Truth().Runs[0].FailureDomain == "b" {
		domain, owner, other = "b", other, owner
	}
	owner.Freeze()
	c.SetDomain(other, domain, true)
	at := c.Truth().Now
	c.Await("the span is over", func() bool { return c.Truth().Now > at+outSpan+1000 })
	owner.Thaw()
	ended := awaitFinal(t, c, batch, other)
	judgeTasks(t, c, batch, ended)
	judgeAllDone(t, ended)
	for _, r := range c.Truth().Runs {
		assert.False(t, r.FailureDomain == domain && r.StartedAt > at+outSpan, "%s started on %s after the domain was out", r.Task, r.Worker)
	}
}

// TestCutOffDomainServes cuts a domain off from the store, from the other
// domains, and from both, and wants it to go on serving.
func TestCutOffDomainServes(t *testing.T) {
	cases := map[string]struct{ store, peers bool }{
		"from the store":         {store: true},
		"from the other domains": {peers: true},
		"from both":              {store: true, peers: true},
	}
	for name, cut := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			options := dotterharness.DefaultOptions()
			options.EntryHosts = 1
			c := dotterharness.NewCluster(t, options)
			load := startTraffic(c, "clearance", 6, c.Host("a", 0))
			load.awaitMore(50)
			if cut.store {
				c.Fault(dotterfault.PathCuts, []dotterfault.Partition{{FailureDomains: []string{"a"}, Store: true, List: true}})
			}
			if cut.peers {
				c.SilenceLinks(func(from, to *dotterharness.EntryHost) bool {
					return (from.Settings.FailureDomain == "a") != (to.Settings.FailureDomain == "a")
				})
			}
			at := c.Truth().Now
			c.Await("the cut has lasted", func() bool { return c.Truth().Now > at+5*dotterclock.Second })
			load.awaitMore(200)
			c.Fault(dotterfault.PathCuts, []dotterfault.Partition{})
			c.SilenceLinks(func(_, _ *dotterharness.EntryHost) bool { return false })
			load.awaitMore(200)
			judgeAnswers(t, c, load.end(), false)
		})
	}
}

// TestStoreOutageServes wants requests to go on through an outage of every kind.
func TestStoreOutageServes(t *testing.T) {
	t.Parallel()
	c := dotterharness.NewCluster(t, oneDomain(2))
	load := startTraffic(c, "clearance", 8)
	for _, outage := range []dotterfault.Outage{dotterfault.OutageRefuse, dotterfault.OutageHang, dotterfault.OutageDrop} {
		c.Fault(dotterfault.PathStore, dotterfault.Store{Outage: outage})
		at := c.Truth().Now
		c.Await("the outage has lasted", func() bool { return c.Truth().Now > at+4*dotterclock.Second })
		load.awaitMore(200)
		c.Fault(dotterfault.PathStore, dotterfault.Store{})
		load.awaitMore(200)
	}
	judgeAnswers(t, c, load.end(), false)
}

// TestForwardingWhenOwnBackendsAreDead wants callers of a domain without
// backend servers to be served by another one.
func TestForwardingWhenOwnBackendsAreDead(t *testing.T) {
	t.Parallel()
	options := dotterharness.DefaultOptions()
	options.EntryHosts = 1
	c := dotterharness.NewCluster(t, options)
	load := startTraffic(c, "refresh", 4, c.Host("a", 0))
	load.awaitMore(50)
	c.Fault(dotterfault.PathBackends, dotterfault.BackendsCall{
		Selector: dotterfault.Selector{FailureDomains: []string{"a"}},
		Fault:    dotterfault.Backend{Dead: true},
	})
	load.awaitMore(100)
	answers := load.end()
	judgeAnswers(t, c, answers, true)
	assert.Equal(t, dotteroutcome.Done, answers[len(answers)-1].Outcome)
}

// lastRequest returns when the newest request started in a failure domain.
func lastRequest(truth dottertruth.Truth, domain string) dotterclock.Millis {
	var last dotterclock.Millis
	for _, b := range truth.Backends {
		if b.FailureDomain == domain {
			last = max(last, b.LastStartAt)
		}
	}
	return last
}
