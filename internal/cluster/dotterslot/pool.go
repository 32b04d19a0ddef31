package dotterslot

import (
	"sync"
	"sync/atomic"
)

// pool is this member's view of the slots or the connections of one server.
type pool struct {
	mu               sync.Mutex
	indexes          []index
	free             []int         // usable indexes that are not in use
	usable           int           // number of usable indexes, in use or not
	excess           []*permit     // permits in use on indexes that this member no longer holds
	inUse            int           // number of permits in use, including excess
	onExcessReleased func()        // called without the lock after an excess permit was released or moved to a free index
	totalExcess      *atomic.Int64 // excess permits of all pools
}

// index is the state of one slot or connection.
type index struct {
	held   bool // by this member in the adopted epoch
	usable bool // held, and no other member can still be using it
	permit *permit
}

func newPool(totalExcess *atomic.Int64, onExcessReleased func()) *pool {
	return &pool{totalExcess: totalExcess, onExcessReleased: onExcessReleased}
}

// acquire returns a permit for a free index, or nil if there is none.
func (p *pool) acquire() *permit {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.free) == 0 {
		return nil
	}
	last := len(p.free) - 1
	i := p.free[last]
	p.free = p.free[:last]
	t := &permit{pool: p, index: i}
	p.indexes[i].permit = t
	p.inUse++
	return t
}

// counts returns the number of usable indexes and how many of them are free.
func (p *pool) counts() (usable, free int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usable, len(p.free)
}

// idle reports whether no permit is in use.
func (p *pool) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse == 0
}

// release returns t to the pool. It calls onExcessReleased if t was an excess
// permit or an excess permit moved to its index.
func (p *pool) release(t *permit) {
	if p.releaseLocked(t) {
		p.onExcessReleased()
	}
}

func (p *pool) releaseLocked(t *permit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	for i, s := range p.excess {
		if s == t {
			p.excess = append(p.excess[:i], p.excess[i+1:]...)
			p.totalExcess.Add(-1)
			return true
		}
	}
	at := &p.indexes[t.index]
	at.permit = nil
	if !at.usable {
		return false
	}
	p.free = append(p.free, t.index)
	return p.moveExcess()
}

// apply sets which indexes are held and usable. Permits in use on indexes that
// are no longer held move to free indexes; permits that do not fit are withdrawn.
func (p *pool) apply(shares []share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.indexes
	p.indexes = make([]index, len(shares))
	for i, s := range shares {
		p.indexes[i] = index{held: s.held, usable: s.usable}
	}
	for i, f := range previous {
		p.restore(i, f.permit)
	}
	p.rebuildFree()
	p.moveExcess()
	for _, s := range p.excess {
		s.withdraw()
	}
}

// restore assigns the permit t, if not nil, to index i again. If index i is no
// longer held, t becomes an excess permit.
func (p *pool) restore(i int, t *permit) {
	if t == nil {
		return
	}
	if i < len(p.indexes) && p.indexes[i].held {
		p.indexes[i].permit = t
		return
	}
	p.excess = append(p.excess, t)
	p.totalExcess.Add(1)
}

// rebuildFree recomputes free and usable from indexes.
func (p *pool) rebuildFree() {
	p.free = p.free[:0]
	p.usable = 0
	for i := len(p.indexes) - 1; i >= 0; i-- {
		if !p.indexes[i].usable {
			continue
		}
		p.usable++
		if p.indexes[i].permit == nil {
			p.free = append(p.free, i)
		}
	}
}

// moveExcess moves excess permits to free indexes and reports whether it moved any.
func (p *pool) moveExcess() bool {
	moved := false
	for len(p.excess) > 0 && len(p.free) > 0 {
		last := len(p.free) - 1
		i := p.free[last]
		p.free = p.free[:last]
		s := p.excess[0]
		p.excess = p.excess[1:]
		s.index = i
		p.indexes[i].permit = s
		p.totalExcess.Add(-1)
		moved = true
	}
	return moved
}
