package dotterfailure

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
	"github.com/dotterelusher/dotterelusher/internal/testing/dotterharness"
)

// traffic is a number of callers, each of which sends one request after another.
type traffic struct {
	cluster  *dotterharness.Cluster
	template string
	hosts    []*dotterharness.EntryHost
	stop     chan struct{}
	callers  sync.WaitGroup

	leaves atomic.Bool // callers end when a request is refused

	mu      sync.Mutex
	answers []dotterharness.Answer
}

// pauseAfterFailure is how long a caller waits after an answer that isn't Done.
const pauseAfterFailure = 20 * time.Millisecond

// startTraffic starts callers, spread evenly over the hosts. Each keeps to its
// host, so that one host without answers doesn't take the load off the others.
func startTraffic(c *dotterharness.Cluster, template string, callers int, hosts ...*dotterharness.EntryHost) *traffic {
	if len(hosts) == 0 {
		hosts = c.Hosts
	}
	t := &traffic{cluster: c, template: template, hosts: hosts, stop: make(chan struct{})}
	for i := range callers {
		t.callers.Go(func() { t.call(i) })
	}
	return t
}

// leaveWhenRefused makes each caller end at its first request that is refused.
func (t *traffic) leaveWhenRefused() {
	t.leaves.Store(true)
}

// end stops the callers and returns all answers.
func (t *traffic) end() []dotterharness.Answer {
	close(t.stop)
	t.callers.Wait()
	return t.answers
}

// done returns how many requests were answered Done so far.
func (t *traffic) done() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, a := range t.answers {
		if a.Outcome == dotteroutcome.Done {
			count++
		}
	}
	return count
}

// awaitMore waits until more requests were answered Done than up to now.
func (t *traffic) awaitMore(more int) {
	start := t.done()
	what := fmt.Sprintf("%d more requests are done", more)
	t.cluster.AwaitWith(what, func() bool { return t.done() >= start+more }, t.last)
}

// last returns the newest answer and how many there are of each outcome.
func (t *traffic) last() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	outcomes := map[dotteroutcome.Outcome]int{}
	for _, a := range t.answers {
		outcomes[a.Outcome]++
	}
	if len(t.answers) == 0 {
		return outcomes
	}
	return []any{outcomes, t.answers[len(t.answers)-1]}
}

func (t *traffic) call(caller int) {
	host := t.hosts[caller%len(t.hosts)]
	for i := 0; ; i++ {
		select {
		case <-t.stop:
			return
		default:
		}
		id := fmt.Sprintf("%s-%d-%d", t.template, caller, i)
		answer := t.cluster.Request(host, t.template, id, body(id), nil)
		t.mu.Lock()
		t.answers = append(t.answers, answer)
		t.mu.Unlock()
		if answer.Outcome != dotteroutcome.Done {
			if t.leaves.Load() {
				return
			}
			time.Sleep(pauseAfterFailure)
		}
	}
}

func body(id string) string {
	return "the body of " + id
}
