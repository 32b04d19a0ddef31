package dottercomparison

import (
	"context"
	"net/http"
	"sync"

	"golang.org/x/sync/semaphore"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// serverQueues implements the policies that choose a server without regard to its
// load: each request waits for a slot in the FIFO queue of the chosen server.
type serverQueues struct {
	bench  *bench
	choose func(number int) int
	hosts  []dotterhost.Host
	slots  []*semaphore.Weighted

	mu      sync.Mutex
	number  int
	waiting int
}

func newServerQueues(b *bench, choose func(number int) int) *serverQueues {
	q := &serverQueues{bench: b, choose: choose, hosts: hosts(domain, template)}
	for range q.hosts {
		q.slots = append(q.slots, semaphore.NewWeighted(Slots))
	}
	return q
}

// send implements dottergenerator.Sender.
func (q *serverQueues) send(ctx context.Context, _ int) string {
	ctx, cancel := context.WithTimeout(ctx, timeoutMillis.Duration())
	defer cancel()
	i := q.chooseServer()
	err := q.slots[i].Acquire(ctx, 1)
	q.stopWaiting()
	if err != nil {
		return string(dotteroutcome.NotRun)
	}
	defer q.slots[i].Release(1)
	request := (&http.Request{}).WithContext(ctx)
	_, err = q.bench.pool.Send(q.hosts[i], request)
	if err != nil {
		return string(dotteroutcome.Unknown)
	}
	q.bench.countDone()
	return string(dotteroutcome.Done)
}

// chooseServer counts a request as waiting and returns the index of its server.
func (q *serverQueues) chooseServer() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.number++
	q.waiting++
	q.bench.longestQueue.observe(q.waiting)
	return q.choose(q.number)
}

func (q *serverQueues) stopWaiting() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting--
}
