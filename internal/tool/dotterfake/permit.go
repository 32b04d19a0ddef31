package dotterfake

import (
	"sync"

	"github.com/dotterelusher/dotterelusher"
)

// Permit is a slot or connection granted by Permits.
type Permit struct {
	owner     *Permits
	release   func(*Permit)
	once      sync.Once
	withdrawn chan struct{}
}

var _ dotterelusher.Permit = (*Permit)(nil)

func newPermit(release func(*Permit), owner *Permits) *Permit {
	return &Permit{owner: owner, release: release, withdrawn: make(chan struct{})}
}

// Release gives the permit back.
func (p *Permit) Release() {
	p.owner.mu.Lock()
	defer p.owner.mu.Unlock()
	p.release(p)
}

// Withdrawn returns a channel that is closed when the permit is withdrawn.
func (p *Permit) Withdrawn() <-chan struct{} {
	return p.withdrawn
}

func (p *Permit) withdraw() {
	p.once.Do(func() { close(p.withdrawn) })
}
