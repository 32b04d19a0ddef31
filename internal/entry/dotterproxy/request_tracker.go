package dotterproxy

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrNotDrained is returned by Drain when the context ends while requests are still
// in progress.
var ErrNotDrained = eris.New("requests still in progress")

// requestTracker counts the requests in progress, with the work that they leave
// running in the background, and rejects new ones during a shutdown.
type requestTracker struct {
	mu       sync.Mutex
	draining bool
	count    int
	drained  chan struct{} // closed when draining is set and count is 0
}

func newRequestTracker() *requestTracker {
	return &requestTracker{drained: make(chan struct{})}
}

// begin counts a new request. It returns the count, background work included, and
// false if the request is rejected because a shutdown has begun.
func (t *requestTracker) begin() (count int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return t.count, false
	}
	t.count++
	return t.count, true
}

// add counts work that a request in progress continues in the background. Unlike
// begin it is never rejected.
func (t *requestTracker) add() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
}

// done ends what begin or add counted.
func (t *requestTracker) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.draining && t.count == 0 {
		close(t.drained)
	}
}

// drain rejects new requests and waits until nothing is in progress. It may be
// called more than once.
func (t *requestTracker) drain(ctx context.Context) error {
	t.mu.Lock()
	first := !t.draining
	t.draining = true
	if first && t.count == 0 {
		close(t.drained)
	}
	t.mu.Unlock()
	select {
	case <-t.drained:
		return nil
	case <-ctx.Done():
		return ErrNotDrained
	}
}
