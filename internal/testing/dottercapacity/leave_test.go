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
	phaseTime         = 12 * time.Second // before, during and after the absence of a failure domain
	requestsPerSecond = 600
	tasksPerSecond    = 15
	taskRunMillis     = 2000
)

// BenchmarkLeaveAndReturn measures the throughput before a failure domain is
// taken out of service, while it is out, and after its return.
func BenchmarkLeaveAndReturn(b *testing.B) {
	options := dotterharness.DefaultOptions()
	options.Backends = 4
	options.Workers = 8
	options.Direct = true
	c := dotterharness.NewCluster(b, options)
	time.Sleep(settleTime)
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

// reportPhase runs the load of one phase and reports the rates of completed
// requests, completed tasks and store calls.
func reportPhase(b *testing.B, c *dotterharness.Cluster, phase string) {
	doneBefore := tasksDone(c)
	from := takeSample(b, c)
	end := time.Now().Add(phaseTime)
	var served atomic.Int64
	var loads sync.WaitGroup
	loads.Go(func() { submitSteadily(c, end) })
	loads.Go(func() { requestSteadily(c, phase, end, &served) })
	loads.Wait()
	to := takeSample(b, c)
	seconds := to.at.Sub(from.at).Seconds()
	b.ReportMetric((to.reads-from.reads)/seconds, "reads/s-"+phase)
	b.ReportMetric((to.writes-from.writes)/seconds, "writes/s-"+phase)
	b.ReportMetric(float64(served.Load())/phaseTime.Seconds(), "requests/s-"+phase)
	b.ReportMetric(float64(tasksDone(c)-doneBefore)/phaseTime.Seconds(), "tasks/s-"+phase)
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
	ticker := time.NewTicker(time.Second / tasksPerSecond)
	defer ticker.Stop()
	for i := 0; time.Now().Before(end); i++ {
		<-ticker.C
		host := c.Hosts[i%len(c.Hosts)]
		calls.Go(func() {
			_, _ = c.Submit(host, dottersubmission.Submission{Template: "reweighting", RunMillis: taskRunMillis})
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
		for range requestsPerSecond / int(time.Second/tick) {
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
