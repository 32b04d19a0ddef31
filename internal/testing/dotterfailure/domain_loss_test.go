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

// domainLossFailures are failures of many hosts at once.
var domainLossFailures = map[string]taskFailure{
	"every worker of a domain dead": {mayRepeat: true, run: func(c *dotterharness.Cluster, d string) {
		removeWorkers(c, d)
	}},
	"a domain's workers and entry host dead": {mayRepeat: true, run: func(c *dotterharness.Cluster, d string) {
		removeWorkers(c, d)
		c.Remove(c.Host(d, 0))
	}},
	"a domain dead while the store loses answers": {mayRepeat: true, run: func(c *dotterharness.Cluster, d string) {
		c.Fault(dotterfault.PathStore, dotterfault.Store{LoseProbability: 0.2})
		removeWorkers(c, d)
		c.Remove(c.Host(d, 0))
		at := c.Truth().Now
		c.Await("the faults have lasted", func() bool { return c.Truth().Now > at+4*dotterclock.Second })
		c.Fault(dotterfault.PathStore, dotterfault.Store{})
	}},
}

// removeWorkers kills the workers of a failure domain and deletes them from the host list.
func removeWorkers(c *dotterharness.Cluster, domain string) {
	for _, h := range c.StandIn.Ready.Hosts {
		if h.FailureDomain != domain || h.Capacity.IsZero() {
			continue
		}
		setWorker(c, dotterfault.Worker{Dead: true}, h.Name)
		c.Fault(dotterfault.PathHost, dotterfault.HostCall{Name: h.Name, Removed: true})
	}
}

// TestTasksEndOnceWhenADomainDies checks the guarantees for tasks when all
// workers of a failure domain, or the whole domain, fail at once. The tasks
// continue in the other domain.
func TestTasksEndOnceWhenADomainDies(t *testing.T) {
	for name, fail := range domainLossFailures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testTasksEndOnce(t, fail, 40, 2000, 8)
		})
	}
}

// TestStoreOutageOfOneMinute checks that running tasks end and reserved tasks
// start during a store outage of one minute, and that every task ends as done
// after it.
func TestStoreOutageOfOneMinute(t *testing.T) {
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
	assert.GreaterOrEqual(t, during, 20, "runs completed during the outage")
	ended := awaitEnded(t, c, batch, h)
	assertTasks(t, c, batch, ended)
	assertAllDone(t, ended)
	t.Logf("runs completed before the outage: %d, during it: %d", before, during)
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
