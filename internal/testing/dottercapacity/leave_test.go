package dottercapacity

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
	"github.com/dotterelusher/dotterelusher/internal/model/dottersubmission"
	"github.com/dotterelusher/dotterelusher/internal/testing/dotterharness"
)

const (
	phaseSpan     = 12 * time.Second // before, during and after the absence of a failure domain
	leaveRequests = 600              // a second
	leaveTasks    = 15               // a second
	leaveRun      = 2000             // ms that a task runs
)

// BenchmarkLeaveAndReturn measures the work done before a failure domain is
// taken out, while it is out, and after its return.
func BenchmarkLeaveAndReturn(b *testing.B) {
	options := dotterharness.DefaultOptions()
	options.Backends = 4
	options.Workers = 8
	options.Direct = true
	c := dotterharness.NewCluster(b, options)
	time.Sleep(settleSpan)
	for _, phase := range []string{"before", "out", "returned"} {
		c.SetDomain(c.Hosts[len(c.Hosts)-1], "a", phase == "out")
		reportPhase(b, c, phase)
	}
	evicted := 0
	for _, r := range c.Truth().Runs {
		if r.Phase == dotterattempt.PhaseCheckpointed {
			evicted++
		}
	}
	b.ReportMetric(float64(evicted), "evictions")
	b.ReportMetric(0, "ns/op")
}

// reportPhase drives one phase and reports requests and tasks done a second.
func reportPhase(b *testing.B, c *dotterharness.Cluster, phase string) {
	doneBefore := tasksDone(c)
	from := take(b, c)
	end := time.Now().Add(phaseSpan)
	var served atomic.Int64
	var drivers sync.WaitGroup
	drivers.Go(func() { submitSteadily(c, end) })
	drivers.Go(func() { requestSteadily(c, phase, end, &served) })
	drivers.Wait()
	to := take(b, c)
	seconds := to.at.Sub(from.at).Seconds()
	b.ReportMetric((to.reads-from.reads)/seconds, "reads/s-"+phase)
	b.ReportMetric((to.writes-from.writes)/seconds, "writes/s-"+phase)
	b.ReportMetric(float64(served.Load())/phaseSpan.Seconds(), "requests/s-"+phase)
	b.ReportMetric(float64(tasksDone(c)-doneBefore)/phaseSpan.Seconds(), "tasks/s-"+phase)
}

func tasksDone(c *dotterharness.Cluster) int {
	done := 0
	for _, r := range c.Truth().Runs {
		if r.Phase == dotterattempt.PhaseDone {
			done++
		}
	}
	return done
}

func submitSteadily(c *dotterharness.Cluster, end time.Time) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Second / leaveTasks)
	defer ticker.Stop()
	for i := 0; time.Now().Before(end); i++ {
		<-ticker.C
		host := c.Hosts[i%len(c.Hosts)]
		calls.Go(func() {
			_, _ = c.Submit(host, dottersubmission.Submission{Template: "reweighting", RunMillis: leaveRun})
		})
	}
	calls.Wait()
}

func requestSteadily(c *dotterharness.Cluster, phase string, end time.Time, served *atomic.Int64) {
	const tick = 10 * time.Millisecond
	var calls sync.WaitGroup
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for i := 0; time.Now().Before(end); {
		<-ticker.C
		for range leaveRequests / int(time.Second/tick) {
			i++
			id := fmt.Sprintf("%s-%d", phase, i)
			host := c.Hosts[i%len(c.Hosts)]
			calls.Go(func() {
				if c.Request(host, "refresh", id, "x", nil).Outcome == dotteroutcome.Done {
					served.Add(1)
				}
			})
		}
	}
	calls.Wait()
}
