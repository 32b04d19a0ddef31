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

// leavingDeadline is the time after which a leaving host must receive no new work.
const leavingDeadline = 3 * dotterclock.Second

// listPropagation covers the lag of the stand-in's host list and the polling
// interval of the daemons.
const listPropagation = 1 * dotterclock.Second

// maxAttempts limits the requests for one key through one host.
const maxAttempts = 300

// backendFaults are the faults injected into one of two backend servers under load.
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

// TestOutcomesMatchExecutionsUnderBackendFaults checks that each outcome agrees
// with the executions recorded by the backend servers, for repeatable and
// non-repeatable services.
func TestOutcomesMatchExecutionsUnderBackendFaults(t *testing.T) {
	for _, template := range []string{"clearance", "refresh"} {
		t.Run(template, func(t *testing.T) {
			t.Parallel()
			c := dotterharness.NewCluster(t, oneDomain(2))
			load := startTraffic(c, template, 24)
			server := "a-" + template + "-1"
			for _, name := range slices.Sorted(maps.Keys(backendFaults)) {
				t.Logf("fault: %s", name)
				selector := dotterfault.Selector{Names: []string{server}}
				c.Fault(dotterfault.PathBackends, dotterfault.BackendsCall{Selector: selector, Fault: backendFaults[name]})
				load.awaitMore(60)
				c.Fault(dotterfault.PathBackends, dotterfault.BackendsCall{})
				load.awaitMore(60)
			}
			answers := load.end()
			for i, a := range answers {
				answers[i].Body = unpadded(a)
			}
			assertAnswers(t, c, answers, template == "refresh")
		})
	}
}

// unpadded returns an answer's body without the zero bytes that the PadBytes
// fault appends.
func unpadded(a dotterharness.Answer) string {
	expected := a.Request + "\n" + body(a.Request)
	if len(a.Body) > len(expected) && a.Body == expected+string(make([]byte, len(a.Body)-len(expected))) {
		return expected
	}
	return a.Body
}

// TestSilentConnectionsAreReplaced drops the traffic on every open connection to
// the backend servers and checks that requests succeed on new connections.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	c := dotterharness.NewCluster(t, oneDomain(2))
	load := startTraffic(c, "clearance", 16)
	load.awaitMore(200)
	for range 3 {
		c.Fault(dotterfault.PathSilence, dotterfault.Selector{})
		load.awaitMore(400)
	}
	assertAnswers(t, c, load.end(), false)
}

// TestLeavingBackendGetsNoNewRequest checks that no request starts on a backend
// server that the host list has shown as leaving for longer than leavingDeadline.
func TestLeavingBackendGetsNoNewRequest(t *testing.T) {
	t.Parallel()
	c := dotterharness.NewCluster(t, oneDomain(2))
	load := startTraffic(c, "refresh", 8)
	load.awaitMore(100)
	at := c.Truth().Now
	c.Fault(dotterfault.PathHost, dotterfault.HostCall{Name: "a-refresh-1", State: dotterhost.StateLeaving})
	c.Await("the deadline has passed", func() bool { return c.Truth().Now > at+listPropagation+leavingDeadline+1000 })
	load.awaitMore(200)
	answers := load.end()
	for _, b := range c.Truth().Backends {
		if b.Name == "a-refresh-1" {
			assert.LessOrEqual(t, b.LastStartAt, at+listPropagation+leavingDeadline)
		}
	}
	assertAnswers(t, c, answers, true)
}

// TestBackendReportingLeavingGetsNoNewRequest is the same test with a backend
// server that reports that it is leaving in its own responses.
func TestBackendReportingLeavingGetsNoNewRequest(t *testing.T) {
	t.Parallel()
	c := dotterharness.NewCluster(t, oneDomain(2))
	load := startTraffic(c, "refresh", 8)
	load.awaitMore(100)
	at := c.Truth().Now
	c.Fault(dotterfault.PathBackends, dotterfault.BackendsCall{
		Selector: dotterfault.Selector{Names: []string{"a-refresh-1"}},
		Fault:    dotterfault.Backend{Leaving: true},
	})
	c.Await("the deadline has passed", func() bool { return c.Truth().Now > at+leavingDeadline+1000 })
	load.awaitMore(200)
	answers := load.end()
	for _, b := range c.Truth().Backends {
		if b.Name == "a-refresh-1" {
			assert.LessOrEqual(t, b.LastStartAt, at+leavingDeadline)
		}
	}
	assertAnswers(t, c, answers, true)
}

// TestGracefulStopCompletesRequests checks that every request that a stopping
// host has accepted gets a complete answer. Callers stop using the host once it
// refuses a request, as the platform's load balancer would.
func TestGracefulStopCompletesRequests(t *testing.T) {
	t.Parallel()
	options := oneDomain(2)
	options.Services = []string{"refresh=fixed:300", "clearance=fixed:300"}
	c := dotterharness.NewCluster(t, options)
	stopping, other := c.Host("a", 0), c.Host("a", 1)
	load := startTraffic(c, "clearance", 12, stopping)
	load.endCallersOnRefusal()
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
	assertAnswers(t, c, answers, false)
	after := startTraffic(c, "clearance", 4, other)
	after.awaitMore(8)
	after.end()
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// TestOneExecutionPerKey sends requests with the same idempotency key through
// every host concurrently, each repeated until it is answered, and checks that
// there is one execution and that every host returns the same answer.
func TestOneExecutionPerKey(t *testing.T) {
	cases := map[string]dotterfault.Store{
		"store without faults": {},
		"store loses answers":  {LoseProbability: 0.3},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := dotterharness.NewCluster(t, oneDomain(3))
			c.Fault(dotterfault.PathStore, fault)
			for i := range 20 {
				key := fmt.Sprintf("key-%d", i)
				assertSingleExecution(t, c, key, requestOnAllHosts(c, key))
			}
			assertNoViolations(t, c)
		})
	}
}

// requestOnAllHosts sends requests with a key through every host until each has
// returned Done or maxAttempts is reached, and returns all answers.
func requestOnAllHosts(c *dotterharness.Cluster, key string) []dotterharness.Answer {
	var mu sync.Mutex
	var answers []dotterharness.Answer
	var requests sync.WaitGroup
	for n, h := range c.Hosts {
		requests.Go(func() {
			for try := range maxAttempts {
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
	requests.Wait()
	return answers
}

// assertSingleExecution checks that all requests of one key caused a single
// execution, and that every host returned its answer.
func assertSingleExecution(t *testing.T, c *dotterharness.Cluster, key string, answers []dotterharness.Answer) {
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

// TestOverloadIsRefusedWithRetryAfter sends three times the load that the
// backend servers can serve. It checks that requests are still served, with no
// slot exceeded, and that refusals carry Retry-After. It logs the goodput, which
// shows whether the slots stay full.
func TestOverloadIsRefusedWithRetryAfter(t *testing.T) {
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
	assertAnswers(t, c, answers, true)
}
