package dotterslot

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// DefaultReclaimDelay is how long the share of a dead member stays unused. Within
// this time, backend servers end the requests of a closed connection.
const DefaultReclaimDelay = 2 * dotterclock.Second

var _ dotterelusher.Permits = (*Ledger)(nil)

// Ledger issues permits for this member's share of the backend servers.
//
// Permits are acquired and released under the lock of their pool. Changes of the
// view, the acknowledgements and the servers are serialized by the ledger's
// lock, which is not needed to acquire a permit.
type Ledger struct {
	clock        dotterelusher.Clock
	reclaimDelay dotterclock.Millis
	metrics      *Metrics
	servers      atomic.Pointer[map[string]*server] // replaced as a whole, never modified in place
	excess       atomic.Int64                       // permits in use on indexes that this member no longer holds

	mu           sync.Mutex
	self         Member
	view         View
	acks         acknowledgements
	goneAt       map[Member]dotterclock.Millis
	acknowledged int64
	changed      chan struct{}
}

// NewLedger returns a ledger with an empty share. The shares of members that are
// proved gone stay unused for reclaimDelay.
func NewLedger(clock dotterelusher.Clock, reclaimDelay dotterclock.Millis, metrics *Metrics) *Ledger {
	l := &Ledger{
		clock:        clock,
		reclaimDelay: reclaimDelay,
		metrics:      metrics,
		acks:         acknowledgements{},
		goneAt:       map[Member]dotterclock.Millis{},
		changed:      make(chan struct{}),
	}
	l.servers.Store(&map[string]*server{})
	return l
}

// Slot acquires a free slot of server, or returns false if this member has none.
func (l *Ledger) Slot(server string) (dotterelusher.Permit, bool) {
	s, ok := (*l.servers.Load())[server]
	if !ok {
		return nil, false
	}
	return asPermit(s.slots.acquire())
}

// Connection acquires a free connection of server, or returns false if this member has none.
func (l *Ledger) Connection(server string) (dotterelusher.Permit, bool) {
	s, ok := (*l.servers.Load())[server]
	if !ok {
		return nil, false
	}
	return asPermit(s.connections.acquire())
}

// asPermit converts a nil *permit to a nil interface.
func asPermit(p *permit) (dotterelusher.Permit, bool) {
	if p == nil {
		return nil, false
	}
	return p, true
}

// Slots returns the number of slots of server that this member may use, and how many of them are free.
func (l *Ledger) Slots(server string) (usable, free int) {
	s, ok := (*l.servers.Load())[server]
	if !ok {
		return 0, 0
	}
	return s.slots.counts()
}

// FreeSlots returns the number of free slots on all servers.
func (l *Ledger) FreeSlots() int {
	sum := 0
	for _, s := range *l.servers.Load() {
		_, free := s.slots.counts()
		sum += free
	}
	return sum
}

// Changed returns a channel that is closed when the shares or the acknowledged epoch next change.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// AcknowledgedBy returns the highest epoch that this process has acknowledged
// under incarnation, or zero if there is none. By acknowledging an epoch, the
// process promises to use only what it holds in that epoch or in one that it
// adopts later.
func (l *Ledger) AcknowledgedBy(incarnation int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self.Incarnation != incarnation {
		return 0
	}
	return l.acknowledged
}

// Drained reports whether no permit is in use outside this member's share.
func (l *Ledger) Drained() bool {
	return l.excess.Load() == 0
}

// Adopt makes view the current view of the member self. A view with an earlier
// epoch than the current one is ignored, unless self has changed.
func (l *Ledger) Adopt(self Member, view View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if self == l.self && view.Current.Number < l.view.Current.Number {
		return
	}
	if self != l.self {
		l.acknowledged = 0
	}
	l.self = self
	l.view = view
	l.updateGone(view)
	l.pruneAcknowledgements(view)
	l.applyAll()
	l.acknowledge()
}

// Acknowledge records that member has acknowledged epoch.
func (l *Ledger) Acknowledge(member Member, epoch int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acks.add(member, epoch) && len(l.view.Open) > 0 {
		l.applyAll()
	}
}

// SetServers sets the backend servers of this failure domain. The capacity of a
// server that is no longer listed becomes zero at once, but the server is only
// removed by a later call: a permit that is being acquired on it concurrently
// must be counted if the server is listed again.
func (l *Ledger) SetServers(servers []dotterhost.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maps.Clone(*l.servers.Load())
	listed := map[string]bool{}
	for _, h := range servers {
		listed[h.Name] = true
		if next[h.Name] == nil {
			next[h.Name] = newServer(h.Name, &l.excess, l.onExcessReleased)
		}
		next[h.Name].resize(h)
	}
	for name, s := range next {
		if listed[name] {
			continue
		}
		if s.removable() {
			delete(next, name)
		}
		s.resize(dotterhost.Host{})
	}
	l.servers.Store(&next)
	l.applyAll()
	l.acknowledge()
}

// Refresh makes the shares of members usable that have been gone for the reclaim delay.
func (l *Ledger) Refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.view.Gone) > 0 {
		l.applyAll()
	}
}

// HasReleased reports whether m can no longer be using what it held in epoch: m
// has been gone for the reclaim delay, or has acknowledged a later epoch up to
// the current one.
func (l *Ledger) HasReleased(m Member, epoch int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasReleased(m, epoch, l.view.Current.Number)
}

// hasReleased implements HasReleased; acknowledgements of epochs after limit do
// not count.
func (l *Ledger) hasReleased(m Member, epoch, limit int64) bool {
	if m == l.self {
		return l.acknowledged > epoch && l.acknowledged <= limit
	}
	if at, ok := l.goneAt[m]; ok && l.clock.Now() >= at+l.reclaimDelay {
		return true
	}
	return l.acks.between(m, epoch, limit)
}

// updateGone records when each member in view.Gone was first seen as gone.
func (l *Ledger) updateGone(view View) {
	gone := map[Member]dotterclock.Millis{}
	for _, m := range view.Gone {
		at, known := l.goneAt[m]
		if !known {
			at = l.clock.Now()
		}
		gone[m] = at
	}
	l.goneAt = gone
}

// pruneAcknowledgements deletes the acknowledgements of members that are in no epoch of view.
func (l *Ledger) pruneAcknowledgements(view View) {
	keep := map[Member]bool{}
	for _, m := range view.Current.Members {
		keep[m] = true
	}
	for _, e := range view.Open {
		for _, m := range e.Members {
			keep[m] = true
		}
	}
	l.acks.retain(keep)
}

// applyAll recomputes the shares of all pools and notifies waiters.
func (l *Ledger) applyAll() {
	r := newShareRule(l.self, l.view, l.hasReleased)
	for _, s := range *l.servers.Load() {
		s.apply(r)
	}
	l.notifyChanged()
}

// notifyChanged closes the channel returned by Changed and updates the metrics.
func (l *Ledger) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
	l.metrics.observe(l)
}

// acknowledge acknowledges the adopted epoch if there are no excess permits. New
// ones can only arise from a later call of Adopt or SetServers.
func (l *Ledger) acknowledge() {
	if l.excess.Load() > 0 || l.view.Current.Number == 0 {
		return
	}
	l.acknowledged = max(l.acknowledged, l.view.Current.Number)
}

// onExcessReleased acknowledges the adopted epoch if no excess permits are left.
func (l *Ledger) onExcessReleased() {
	if l.excess.Load() > 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.acknowledged
	l.acknowledge()
	if l.acknowledged != before {
		l.notifyChanged()
	}
}
