package dotterproxy

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrNotDrained means that requests were still in progress when the wait ended.
var ErrNotDrained = eris.New("requests still in progress")

// gate counts requests in progress and closes for a shutdown.
type gate struct {
	mu     sync.Mutex
	closed bool
	count  int
	empty  chan struct{} // closed when the gate is closed and the count is 0
}

func newGate() *gate {
	return &gate{empty: make(chan struct{})}
}

// enter counts a request, or reports that the gate is closed.
func (g *gate) enter() (count int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return g.count, false
	}
	g.count++
	return g.count, true
}

// join counts what a request that has entered leaves to be done after it.
func (g *gate) join() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count++
}

// exit ends what enter or join began.
func (g *gate) exit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.closed && g.count == 0 {
		close(g.empty)
	}
}

// drain closes the gate and waits until nothing is in progress.
func (g *gate) drain(ctx context.Context) error {
	g.mu.Lock()
	first := !g.closed
	g.closed = true
	if first && g.count == 0 {
		close(g.empty)
	}
	g.mu.Unlock()
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
		return ErrNotDrained
	}
}
