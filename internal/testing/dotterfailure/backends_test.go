package dotterfailure

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterfault"
	"github.com/dotterelusher/dotterelusher/internal/testing/dotterharness"
)

// leaveSpan is how long a leaving host may still be given new work.
const leaveSpan = 3 * dotterclock.Second

// listSpan is the lag of the stand-in's list and the daemons' poll together.
const listSpan = 1 * dotterclock.Second

// mostTries is how often a host is asked for one key.
const mostTries = 300

// backendFaults are what befalls one backend server of two while it is loaded.
var backendFaults = map[string]dotterfault.Backend{
	"half answers": {HalfAnswers: 50},
	"failures":     {Failures: 50},
	"refusals":     {Refusals: 50},
	"late answers": {LateMillis: 300},
	"dead":         {Dead: true},
	"frozen":       {Frozen: true},
	"slow":         {SlowFactor: 20},
	"padded":       {PadBytes: 200_000},
}

// TestOutcomesAreTrueUnderBackendFaults wants each outcome to be what the
// backend servers saw, for both kinds of services.
func TestOutcomesAreTrueUnderBackendFaults(t *testing.T) {
	for _, template := range []string{"clearance", "refresh"} {
		t.Run(template, func(t *testing.T) {
			t.Parallel()
			c := dotterharness.NewCluster(t, oneDomain(2))
			load := startTraffic(c, template, 24)
			server := "a-" + template + "-1"
			for _, name := range slices.Sorted(maps.Keys(backendFaults)) {
				t.Logf("fault: %s", name)
				one := dotterfault.Selector{Names: []string{server}}
				c.Fault(dotterfault.PathBackends, dotterfault.BackendsCall{Selector: one, Fault: backendFaults[name]})
				load.awaitMore(60)
				c.Fault(dotterfault.PathBackends, dotterfault.BackendsCall{})
				load.awaitMore(60)
			}
			answers := load.end()
			for i, a := range answers {
				answers[i].Body = unpadded(a)
			}
			judgeAnswers(t, c, answers, template == "refresh")
		})
	}
}

// unpadded returns an answer's body without the zeros that a fault has added.
func unpadded(a dotterharness.Answer) string {
	whole := a.Request + "\n" + body(a.Request)
	if len(a.Body) > len(whole) && a.Body == whole+string(make([]byte, len(a.Body)-len(whole))) {
		return whole
	}
	return a.Body
}

// TestSilentConnectionsAreLeft silences every connection to the backend
// servers and wants requests to succeed on new ones.
func TestSilentConnectionsAreLeft(t *testing.T) {
	t.Parallel()
	c := dotterharness.NewCluster(t, oneDomain(2))
	load := startTraffic(c, "clearance", 16)
	load.awaitMore(200)
	for range 3 {
		c.Fault(dotterfault.PathSilence, dotterfault.Selector{})
		load.awaitMore(400)
	}
	judgeAnswers(t, c, load.end(), false)
}

// TestLeavingBackendGetsNoNewRequest wants no request to start on a server
// that the list has shown as leaving for three seconds.
func TestLeavingBackendGetsNoNewRequest(t *testing.T) {
	t.Parallel()
	c := dotterharness.NewCluster(t, oneDomain(2))
	load := startTraffic(c, "refresh", 8)
	load.awaitMore(100)
	at := c.Truth().Now
	c.Fault(dotterfault.PathHost, dotterfault.HostCall{Name: "a-refresh-1", State: dotterhost.StateLeaving})
	c.Await("the span is over", func() bool { return c.Truth().Now > at+listSpan+leaveSpan+1000 })
	load.awaitMore(200)
	answers := load.end()
	for _, b := range c.Truth().Backends {
		if b.Name == "a-refresh-1" {
			assert.LessOrEqual(t, b.LastStartAt, at+listSpan+leaveSpan)
		}
	}
	judgeAnswers(t, c, answers, true)
}

// TestLeavingByOwnWordGetsNoNewRequest is the same for a server that says so itself.
func TestLeavingByOwnWordGetsNoNewRequest(t *testing.T) {
	t.Parallel()
	c := dotterharness.NewCluster(t, oneDomain(2))
	load := startTraffic(c, "refresh", 8)
	load.awaitMore(100)
	at := c.Truth().Now
	c.Fault(dotterfault.PathBackends, dotterfault.BackendsCall{
		Selector: dotterfault.Selector{Names: []string{"a-refresh-1"}},
		Fault:    dotterfault.Backend{Leaving: true},
	})
	c.Await("the span is over", func() bool { return c.Truth().Now > at+leaveSpan+1000 })
	load.awaitMore(200)
	answers := load.end()
	for _, b := range c.Truth().Backends {
		if b.Name == "a-refresh-1" {
			assert.LessOrEqual(t, b.LastStartAt, at+leaveSpan)
		}
	}
	judgeAnswers(t, c, answers, true)
}

// TestGracefulStopCutsNothingOff wants every request that a stopping host took
// to get its whole answer. Callers leave the host once it refuses them, as the
// platform's balancer would.
func TestGracefulStopCutsNothingOff(t *testing.T) {
	t.Parallel()
	options := oneDomain(2)
	options.Services = []string{"refresh=fixed:300", "clearance=fixed:300"}
	c := dotterharness.NewCluster(t, options)
	stopping, other := c.Host("a", 0), c.Host("a", 1)
	load := startTraffic(c, "clearance", 12, stopping)
	load.leaveWhenRefused()
	load.awaitMore(24)
	stopping.Terminate()
	<-stopping.Ended()
	assert.NoError(t, stopping.Err())
	answers := load.end()
	for _, a := range answers {
		refused := a.Err != nil && isDialError(a.Err)
		assert.True(t, refused || a.Outcome == dotteroutcome.Done || a.Outcome == dotteroutcome.NotRun,
			"%s: cut off: %v %v", a.Request, a.Outcome, a.Err)
	}
	judgeAnswers(t, c, answers, false)
	after := startTraffic(c, "clearance", 4, other)
	after.awaitMore(8)
	after.end()
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// TestOneExecutionPerKey sends the same key through every host at once, each
// again until it has the answer, and wants one execution and one answer.
func TestOneExecutionPerKey(t *testing.T) {
	cases := map[string]dotterfault.Store{
		"store whole":         {},
		"store loses answers": {LoseProbability: 0.3},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := dotterharness.NewCluster(t, oneDomain(3))
			c.Fault(dotterfault.PathStore, fault)
			for i := range 20 {
				key := fmt.Sprintf("key-%d", i)
				judgeKey(t, c, key, askEverywhere(c, key))
			}
			judgeNoViolations(t, c)
		})
	}
}

// askEverywhere sends a key through every host until each has had its answer, and returns all answers.
func askEverywhere(c *dotterharness.Cluster, key string) []dotterharness.Answer {
	var mu sync.Mutex
	var answers []dotterharness.Answer
	var all sync.WaitGroup
	for n, h := range c.Hosts {
		all.Go(func() {
			for try := range mostTries {
				id := fmt.Sprintf("%s-%d-%d", key, n, try)
				a := c.Request(h, "clearance", id, "question", map[string]string{"Idempotency-Key": key})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				if a.Outcome == dotteroutcome.Done {
					return
				}
				time.Sleep(pauseAfterFailure)
			}
		})
	}
	all.Wait()
	return answers
}

// judgeKey checks that the requests of one key ran once in all, and that every
// host got the one answer.
func judgeKey(t *testing.T, c *dotterharness.Cluster, key string, answers []dotterharness.Answer) {
	t.Helper()
	executions := c.Executions()
	runs, done := 0, 0
	bodies := map[string]bool{}
	for _, a := range answers {
		runs += len(executions[a.Request])
		if a.Outcome == dotteroutcome.Done {
			done++
			bodies[a.Body] = true
		}
	}
	assert.Equal(t, 1, runs, "%s: executions", key)
	assert.Equal(t, len(c.Hosts), done, "%s: hosts that got the answer", key)
	assert.Len(t, bodies, 1, "%s: different answers", key)
}

// TestRefusalsComeAtOnce loads three times the capacity and wants refusals with
// Retry-After while the slots stay full.
func TestRefusalsComeAtOnce(t *testing.T) {
	t.Parallel()
	options := oneDomain(2)
	options.Services = []string{"refresh=fixed:50", "clearance=fixed:50"}
	c := dotterharness.NewCluster(t, options)
	load := startTraffic(c, "refresh", 200)
	load.awaitMore(600)
	start := time.Now()
	before := load.done()
	load.awaitMore(600)
	t.Logf("goodput %.0f/s of a capacity of 320/s", float64(load.done()-before)/time.Since(start).Seconds())
	answers := load.end()
	judgeAnswers(t, c, answers, true)
}
