package dotterfailure

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
	"github.com/dotterelusher/dotterelusher/internal/testing/dotterharness"
)

// traffic is a closed-loop load: each of its callers sends one request after another.
type traffic struct {
	cluster  *dotterharness.Cluster
	template string
	hosts    []*dotterharness.EntryHost
	stop     chan struct{}
	callers  sync.WaitGroup

	stopOnRefusal atomic.Bool // each caller stops at its first answer other than Done

	mu      sync.Mutex
	answers []dotterharness.Answer
}

// pauseAfterFailure is how long a caller waits after an answer other than Done.
const pauseAfterFailure = 20 * time.Millisecond

// startTraffic starts callers, distributed evenly over the hosts. Each caller
// uses a single host, so that a host that does not answer does not block the
// load on the others.
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

// endCallersOnRefusal makes each caller stop at its first answer other than Done.
func (t *traffic) endCallersOnRefusal() {
	t.stopOnRefusal.Store(true)
}

// end stops the callers and returns all answers.
func (t *traffic) end() []dotterharness.Answer {
	close(t.stop)
	t.callers.Wait()
	return t.answers
}

// done returns the number of requests answered Done so far.
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

// awaitMore waits until the given number of further requests are answered Done.
func (t *traffic) awaitMore(more int) {
	start := t.done()
	what := fmt.Sprintf("%d more requests are done", more)
	t.cluster.AwaitWith(what, func() bool { return t.done() >= start+more }, t.last)
}

// last returns the number of answers by outcome and the most recent answer, for
// the message of a failed wait.
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
			if t.stopOnRefusal.Load() {
				return
			}
			time.Sleep(pauseAfterFailure)
		}
	}
}

func body(id string) string {
	return "the body of " + id
}
