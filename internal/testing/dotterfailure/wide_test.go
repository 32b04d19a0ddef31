package dotterfailure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dottersubmission"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterfault"
	"github.com/dotterelusher/dotterelusher/internal/testing/dotterharness"
)

// wideFailures befall many hosts at once.
var wideFailures = map[string]taskFailure{
	"every worker of a domain dead": {mayRepeat: true, run: func(c *dotterharness.Cluster, d string) {
		loseWorkers(c, d)
	}},
	"a domain's workers and entry host dead": {mayRepeat: true, run: func(c *dotterharness.Cluster, d string) {
		loseWorkers(c, d)
		c.Remove(c.Host(d, 0))
	}},
	"a domain dead while the store loses answers": {mayRepeat: true, run: func(c *dotterharness.Cluster, d string) {
		c.Fault(dotterfault.PathStore, dotterfault.Store{LoseProbability: 0.2})
		loseWorkers(c, d)
		c.Remove(c.Host(d, 0))
		at := c.Truth().Now
		c.Await("the faults have lasted", func() bool { return c.Truth().Now > at+4*dotterclock.Second })
		c.Fault(dotterfault.PathStore, dotterfault.Store{})
	}},
}

// loseWorkers kills the workers of a failure domain and takes them off the host list.
func loseWorkers(c *dotterharness.Cluster, domain string) {
	for _, h := range c.StandIn.Ready.Hosts {
		if h.FailureDomain != domain || h.Capacity.IsZero() {
			continue
		}
		setWorker(c, dotterfault.Worker{Dead: true}, h.Name)
		c.Fault(dotterfault.PathHost, dotterfault.HostCall{Name: h.Name, Removed: true})
	}
}

// TestTasksEndOnceWhenADomainDies wants the promises of tasks kept when a rack
// or a whole failure domain is lost at once: work goes on in the other one.
func TestTasksEndOnceWhenADomainDies(t *testing.T) {
	for name, fail := range wideFailures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endOnce(t, fail, 40, 2000, 8)
		})
	}
}

// TestStoreAwayForAMinute wants running tasks to end, reserved ones to start, and
// everything to be accounted for after an outage of a minute.
func TestStoreAwayForAMinute(t *testing.T) {
	t.Parallel()
	const outage = time.Minute
	c := dotterharness.NewCluster(t, twoDomains())
	h := c.Host("a", 0)
	batch := submit(t, c, h, "reweighting", 150, func(s *dottersubmission.Submission) { s.RunMillis = 4000 })
	c.Await("tasks have run for a while", func() bool { return doneRuns(c) >= 20 })
	before := doneRuns(c)
	c.Fault(dotterfault.PathStore, dotterfault.Store{Outage: dotterfault.OutageDrop})
	time.Sleep(outage)
	during := doneRuns(c) - before
	c.Fault(dotterfault.PathStore, dotterfault.Store{})
	assert.GreaterOrEqual(t, during, 20, "runs that were done in the outage")
	ended := awaitFinal(t, c, batch, h)
	judgeTasks(t, c, batch, ended)
	judgeAllDone(t, ended)
	t.Logf("runs done before the outage: %d, in it: %d", before, during)
}

func doneRuns(c *dotterharness.Cluster) int {
	done := 0
	for _, r := range c.Truth().Runs {
		if r.Phase == dotterattempt.PhaseDone {
			done++
		}
	}
	return done
}
