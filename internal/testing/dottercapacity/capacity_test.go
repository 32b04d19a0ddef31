package dottercapacity

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dottersubmission"
	// Makes the daemon's code a dependency of this package, so that a change to it
	// invalidates cached test results.
	_ "github.com/dotterelusher/dotterelusher/internal/server/dotterdaemon"
	"github.com/dotterelusher/dotterelusher/internal/server/dottersettings"
	"github.com/dotterelusher/dotterelusher/internal/testing/dotterharness"
)

const (
	settleTime  = 4 * time.Second  // from ready to the first sample
	measureTime = 12 * time.Second // between the two samples
)

// measure runs load between two samples and reports the resources used.
func measure(b *testing.B, options dotterharness.Options, load func(c *dotterharness.Cluster, end time.Time)) {
	options.Adjust = func(s *dottersettings.Settings) { s.Timing = dottersettings.Default().Timing }
	options.Direct = true
	c := dotterharness.NewCluster(b, options)
	time.Sleep(settleTime)
	from := takeSample(b, c)
	load(c, time.Now().Add(measureTime))
	to := takeSample(b, c)
	report(b, len(c.Hosts), from, to)
}

func idle(_ *dotterharness.Cluster, end time.Time) {
	time.Sleep(time.Until(end))
}

// BenchmarkHosts measures an idle pool for several numbers of entry hosts.
func BenchmarkHosts(b *testing.B) {
	for _, perDomain := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprintf("Hosts=%d", 3*perDomain), func(b *testing.B) {
			options := dotterharness.DefaultOptions()
			options.EntryHosts = perDomain
			measure(b, options, idle)
		})
	}
}

// BenchmarkWorkers measures an idle pool for several numbers of workers.
func BenchmarkWorkers(b *testing.B) {
	for _, perDomain := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("Workers=%d", 3*perDomain), func(b *testing.B) {
			options := dotterharness.DefaultOptions()
			options.Workers = perDomain
			measure(b, options, idle)
		})
	}
}

// BenchmarkStarts measures task starts at several rates.
func BenchmarkStarts(b *testing.B) {
	for _, rate := range []int{5, 20, 85} {
		b.Run(fmt.Sprintf("Rate=%d", rate), func(b *testing.B) {
			options := dotterharness.DefaultOptions()
			options.Workers = 16
			measure(b, options, func(c *dotterharness.Cluster, end time.Time) { submitAt(b, c, rate, end) })
		})
	}
}

// submitAt submits rate tasks per second until end, through all entry hosts in turn.
func submitAt(b *testing.B, c *dotterharness.Cluster, rate int, end time.Time) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var refused sync.Map
	for i := 0; time.Now().Before(end); i++ {
		<-ticker.C
		host := c.Hosts[i%len(c.Hosts)]
		calls.Go(func() {
			_, err := c.Submit(host, dottersubmission.Submission{Template: "reweighting", RunMillis: 300})
			if err != nil {
				refused.Store(i, err)
			}
		})
	}
	calls.Wait()
	count := 0
	refused.Range(func(any, any) bool { count++; return true })
	b.ReportMetric(float64(count), "refused")
	b.ReportMetric(float64(len(c.Truth().Runs))/measureTime.Seconds(), "starts/s")
}

// BenchmarkRequests measures service requests at several rates.
func BenchmarkRequests(b *testing.B) {
	for _, rate := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprintf("Rate=%d", rate), func(b *testing.B) {
			options := dotterharness.DefaultOptions()
			options.Backends = 8
			options.Services = []string{"refresh=fixed:2", "clearance=fixed:2"}
			measure(b, options, func(c *dotterharness.Cluster, end time.Time) { requestAt(c, rate, end) })
		})
	}
}

// requestAt sends rate requests per second until end, through all entry hosts in turn.
func requestAt(c *dotterharness.Cluster, rate int, end time.Time) {
	const tick = 10 * time.Millisecond
	var calls sync.WaitGroup
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	perTick := rate / int(time.Second/tick)
	for i := 0; time.Now().Before(end); {
		<-ticker.C
		for range perTick {
			i++
			id := fmt.Sprintf("capacity-%d", i)
			host := c.Hosts[i%len(c.Hosts)]
			calls.Go(func() { c.Request(host, "refresh", id, "x", nil) })
		}
	}
	calls.Wait()
}

// BenchmarkConfigurationBurst measures 20 configuration edits in quick succession
// for several numbers of entry hosts: the time until the last one is in force on
// every host, and the store calls.
func BenchmarkConfigurationBurst(b *testing.B) {
	for _, perDomain := range []int{2, 4, 8} {
		b.Run(fmt.Sprintf("Hosts=%d", 3*perDomain), func(b *testing.B) {
			options := dotterharness.DefaultOptions()
			options.EntryHosts = perDomain
			measure(b, options, func(c *dotterharness.Cluster, _ time.Time) { editAndAwait(b, c) })
		})
	}
}

func editAndAwait(b *testing.B, c *dotterharness.Cluster) {
	const edits = 20
	var last int64
	for i := range edits {
		host := fmt.Sprintf("drained-%d", i)
		edit, err := dotterconfig.NewEdit("Draining/"+host, nil, host)
		require.NoError(b, err)
		last, err = c.Edit(c.Hosts[i%len(c.Hosts)], edit)
		require.NoError(b, err)
	}
	accepted := time.Now()
	for _, h := range c.Hosts {
		c.Await("the last change is in force", func() bool {
			document, err := c.Configuration(h)
			require.NoError(b, err)
			return document.Revision >= last
		})
	}
	b.ReportMetric(float64(time.Since(accepted).Milliseconds()), "ms-in-force")
}

func TestMetricsCanBeRead(t *testing.T) {
	options := dotterharness.DefaultOptions()
	options.EntryHosts = 1
	c := dotterharness.NewCluster(t, options)
	s := takeSample(t, c)
	require.Positive(t, s.resident)
	response, err := http.Get("http://" + c.Hosts[0].Settings.OperatorListen + "/healthz")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.NoError(t, response.Body.Close())
}
