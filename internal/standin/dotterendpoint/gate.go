package dotterendpoint

import (
	"context"
	"sync"
)

// Gate holds callers while it is shut.
type Gate struct {
	mu   sync.Mutex
	shut chan struct{} // nil while the gate is open, closed when it opens
}

// Set shuts or opens the gate.
func (g *Gate) Set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if shut == (g.shut != nil) {
		return
	}
	if shut {
		g.shut = make(chan struct{})
		return
	}
	close(g.shut)
	g.shut = nil
}

// Shut reports whether the gate is shut.
func (g *Gate) Shut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut != nil
}

// Wait returns once the gate is open, or false if ctx ended before.
func (g *Gate) Wait(ctx context.Context) bool {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut == nil {
		return true
	}
	select {
	case <-shut:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
