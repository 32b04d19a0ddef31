package dottercomparison

import (
	"context"
	"net/http"
	"sync"

	"golang.org/x/sync/semaphore"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// naive sends each request to a server that is chosen without looking at any,
// where it waits for a slot behind all others that came before.
type naive struct {
	bench  *bench
	choose func(number int) int
	hosts  []dotterhost.Host
	slots  []*semaphore.Weighted

	mu      sync.Mutex
	number  int
	waiting int
}

func newNaive(b *bench, choose func(number int) int) *naive {
	n := &naive{bench: b, choose: choose, hosts: hosts(domain, template)}
	for range n.hosts {
		n.slots = append(n.slots, semaphore.NewWeighted(Slots))
	}
	return n
}

// send is a Sender for one request.
func (n *naive) send(ctx context.Context, _ int) string {
	ctx, cancel := context.WithTimeout(ctx, timeoutMillis.Duration())
	defer cancel()
	i := n.next()
	err := n.slots[i].Acquire(ctx, 1)
	n.begun()
	if err != nil {
		return string(dotteroutcome.NotRun)
	}
	defer n.slots[i].Release(1)
	request := (&http.Request{}).WithContext(ctx)
	_, err = n.bench.pool.Send(n.hosts[i], request)
	if err != nil {
		return string(dotteroutcome.Unknown)
	}
	n.bench.countDone()
	return string(dotteroutcome.Done)
}

func (n *naive) next() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.number++
	n.waiting++
	n.bench.longest.see(n.waiting)
	return n.choose(n.number)
}

func (n *naive) begun() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiting--
}
