package dotterendpoint

import (
	"context"
	"sync"
)

// Gate blocks callers of Wait while it is closed. The zero Gate is open.
type Gate struct {
	mu     sync.Mutex
	opened chan struct{} // nil while the gate is open; closed when the gate opens
}

// SetClosed closes or opens the gate.
func (g *Gate) SetClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if closed == (g.opened != nil) {
		return
	}
	if closed {
		g.opened = make(chan struct{})
		return
	}
	close(g.opened)
	g.opened = nil
}

// Closed reports whether the gate is closed.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened != nil
}

// Wait blocks until the gate is open and returns true, or returns false if ctx
// ends first. It ignores ctx if the gate is already open.
func (g *Gate) Wait(ctx context.Context) bool {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return true
	}
	select {
	case <-opened:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
