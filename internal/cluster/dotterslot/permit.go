package dotterslot

import (
	"sync"

	"github.com/dotterelusher/dotterelusher"
)

var _ dotterelusher.Permit = (*permit)(nil)

// permit is one index of a pool in use. All fields but the pool are guarded by
// the pool's lock.
type permit struct {
	pool      *pool
	index     int
	once      sync.Once
	taken     bool          // withdrawn has been or would be closed
	withdrawn chan struct{} // made when first asked for
}

// Release gives the permit back; it may be called once.
func (p *permit) Release() {
	p.once.Do(func() { p.pool.release(p) })
}

// Withdrawn returns a channel that is closed when another member is to have the permit.
func (p *permit) Withdrawn() <-chan struct{} {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if p.withdrawn == nil {
		p.withdrawn = make(chan struct{})
		if p.taken {
			close(p.withdrawn)
		}
	}
	return p.withdrawn
}

// withdraw closes the permit's channel. The pool's lock is held.
func (p *permit) withdraw() {
	if p.taken {
		return
	}
	p.taken = true
	if p.withdrawn != nil {
		close(p.withdrawn)
	}
}
