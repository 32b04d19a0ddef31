package dotterslot

import (
	"sync"
	"sync/atomic"
)

// pool is one server's slots or connections as this member sees them.
type pool struct {
	mu       sync.Mutex
	indexes  []index
	free     []int     // usable and not in use
	usable   int       // held and safe to use, in use or not
	strays   []*permit // in use on indexes that this member does not hold
	permits  int       // in use, strays included
	released func()    // called without the lock after a stray has ended or moved
	total    *atomic.Int64
}

// index is one slot or connection.
type index struct {
	mine   bool // held by this member in the epoch that it has adopted
	usable bool // mine, and no other member can be using it
	used   *permit
}

func newPool(strays *atomic.Int64, released func()) *pool {
	return &pool{total: strays, released: released}
}

// take returns a permit for a free index, or nil.
func (p *pool) take() *permit {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.free) == 0 {
		return nil
	}
	last := len(p.free) - 1
	i := p.free[last]
	p.free = p.free[:last]
	t := &permit{pool: p, index: i}
	p.indexes[i].used = t
	p.permits++
	return t
}

// counts returns how many indexes may be used and how many of them are free.
func (p *pool) counts() (usable, free int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usable, len(p.free)
}

// idle reports whether no permit of p is in use.
func (p *pool) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.permits == 0
}

// release ends t. If t was a stray, or its index can take one over, released is called.
func (p *pool) release(t *permit) {
	if p.releaseLocked(t) {
		p.released()
	}
}

func (p *pool) releaseLocked(t *permit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.permits--
	for i, s := range p.strays {
		if s == t {
			p.strays = append(p.strays[:i], p.strays[i+1:]...)
			p.total.Add(-1)
			return true
		}
	}
	at := &p.indexes[t.index]
	at.used = nil
	if !at.usable {
		return false
	}
	p.free = append(p.free, t.index)
	return p.moveStrays()
}

// apply sets which indexes are held and usable. Permits in use on indexes that
// are no longer held move to free ones; what does not fit is withdrawn.
func (p *pool) apply(shares []share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	former := p.indexes
	p.indexes = make([]index, len(shares))
	for i, s := range shares {
		p.indexes[i] = index{mine: s.mine, usable: s.usable}
	}
	for i, f := range former {
		p.place(i, f.used)
	}
	p.countFree()
	p.moveStrays()
	for _, s := range p.strays {
		s.withdraw()
	}
}

// place puts the permit t, if any, back on index i, or among the strays.
func (p *pool) place(i int, t *permit) {
	if t == nil {
		return
	}
	if i < len(p.indexes) && p.indexes[i].mine {
		p.indexes[i].used = t
		return
	}
	p.strays = append(p.strays, t)
	p.total.Add(1)
}

// countFree sets free and usable from the indexes.
func (p *pool) countFree() {
	p.free = p.free[:0]
	p.usable = 0
	for i := len(p.indexes) - 1; i >= 0; i-- {
		if !p.indexes[i].usable {
			continue
		}
		p.usable++
		if p.indexes[i].used == nil {
			p.free = append(p.free, i)
		}
	}
}

// moveStrays moves strays to free indexes and reports whether it moved any.
func (p *pool) moveStrays() bool {
	moved := false
	for len(p.strays) > 0 && len(p.free) > 0 {
		last := len(p.free) - 1
		i := p.free[last]
		p.free = p.free[:last]
		s := p.strays[0]
		p.strays = p.strays[1:]
		s.index = i
		p.indexes[i].used = s
		p.total.Add(-1)
		moved = true
	}
	return moved
}
