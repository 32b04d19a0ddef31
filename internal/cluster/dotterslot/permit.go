package dotterslot

import (
	"sync"

	"github.com/dotterelusher/dotterelusher"
)

var _ dotterelusher.Permit = (*permit)(nil)

// permit is an acquired index of a pool. The pool's lock guards all fields except
// pool.
type permit struct {
	pool        *pool
	index       int
	once        sync.Once
	isWithdrawn bool          // withdrawn is closed, or will be closed on creation
	withdrawn   chan struct{} // created by the first call of Withdrawn
}

// Release returns the permit to its pool. Only the first call has an effect.
func (p *permit) Release() {
	p.once.Do(func() { p.pool.release(p) })
}

// Withdrawn returns a channel that is closed when the permit's index has been
// reassigned and this member has no other free index to move the permit to.
func (p *permit) Withdrawn() <-chan struct{} {
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	if p.withdrawn == nil {
		p.withdrawn = make(chan struct{})
		if p.isWithdrawn {
			close(p.withdrawn)
		}
	}
	return p.withdrawn
}

// withdraw marks the permit as withdrawn and closes its channel. The caller holds
// the pool's lock.
func (p *permit) withdraw() {
	if p.isWithdrawn {
		return
	}
	p.isWithdrawn = true
	if p.withdrawn != nil {
		close(p.withdrawn)
	}
}
