package dotterfake

import (
	"sync"

	"github.com/dotterelusher/dotterelusher"
)

// Permits grants every server the same number of slots and connections.
type Permits struct {
	mu          sync.Mutex
	slots       int
	connections int
	usage       map[string]*usage
	changed     signal
}

var _ dotterelusher.Permits = (*Permits)(nil)

// usage counts the slots and connections of one server that are in use.
type usage struct {
	slots       int
	connections int
	open        map[*Permit]struct{} // permits of the connections in use
}

// NewPermits returns a Permits that grants that many slots and connections for each server.
func NewPermits(slots, connections int) *Permits {
	return &Permits{slots: slots, connections: connections, usage: make(map[string]*usage)}
}

// Slot takes a slot of server.
func (p *Permits) Slot(server string) (dotterelusher.Permit, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.usageLocked(server)
	if u.slots >= p.slots {
		return nil, false
	}
	u.slots++
	return newPermit(func(*Permit) { u.slots-- }, p), true
}

// Connection takes a connection of server.
func (p *Permits) Connection(server string) (dotterelusher.Permit, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.usageLocked(server)
	if u.connections >= p.connections {
		return nil, false
	}
	u.connections++
	permit := newPermit(func(released *Permit) {
		u.connections--
		delete(u.open, released)
	}, p)
	u.open[permit] = struct{}{}
	return permit, true
}

// Slots returns the slots of server and how many are free.
func (p *Permits) Slots(server string) (usable, free int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slots, p.slots - p.usageLocked(server).slots
}

// Changed returns a channel that is closed at the next SetSlots or WithdrawConnections.
func (p *Permits) Changed() <-chan struct{} {
	return p.changed.wait()
}

// SetSlots changes the number of slots of each server.
func (p *Permits) SetSlots(slots int) {
	p.mu.Lock()
	p.slots = slots
	p.mu.Unlock()
	p.changed.fire()
}

// Connections returns how many connections of server are in use.
func (p *Permits) Connections(server string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usageLocked(server).connections
}

// WithdrawConnections withdraws every connection of server that is in use.
func (p *Permits) WithdrawConnections(server string) {
	p.mu.Lock()
	for permit := range p.usageLocked(server).open {
		permit.withdraw()
	}
	p.mu.Unlock()
	p.changed.fire()
}

// usageLocked returns the usage of server; the caller holds p.mu.
func (p *Permits) usageLocked(server string) *usage {
	u := p.usage[server]
	if u == nil {
		u = &usage{open: make(map[*Permit]struct{})}
		p.usage[server] = u
	}
	return u
}
