package dotterslot

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// DefaultReclaimDelay is how long what a dead member held stays unused: backend
// servers end the requests of a closed connection within it.
const DefaultReclaimDelay = 2 * dotterclock.Second

var _ dotterelusher.Permits = (*Ledger)(nil)

// Ledger hands out permits for this member's share of the backend servers.
//
// A permit is taken and released under the lock of its own server's pool.
// Changes of the view, of acknowledgements and of servers are serialised by the
// ledger's lock, which taking a permit never touches.
type Ledger struct {
	clock   dotterelusher.Clock
	settle  dotterclock.Millis
	metrics *Metrics
	servers atomic.Pointer[map[string]*server] // replaced whole, never changed
	strays  atomic.Int64                       // permits in use outside what is held

	mu           sync.Mutex
	self         Member
	view         View
	acks         acknowledgements
	goneAt       map[Member]dotterclock.Millis
	acknowledged int64
	changed      chan struct{}
}

// NewLedger returns a ledger that holds nothing. What members that are proved
// gone held stays unused for settle.
func NewLedger(clock dotterelusher.Clock, settle dotterclock.Millis, metrics *Metrics) *Ledger {
	l := &Ledger{
		clock:   clock,
		settle:  settle,
		metrics: metrics,
		acks:    acknowledgements{},
		goneAt:  map[Member]dotterclock.Millis{},
		changed: make(chan struct{}),
	}
	l.servers.Store(&map[string]*server{})
	return l
}

// Slot takes a free slot of server, or reports that this member has none.
func (l *Ledger) Slot(server string) (dotterelusher.Permit, bool) {
	s, ok := (*l.servers.Load())[server]
	if !ok {
		return nil, false
	}
	return taken(s.slots.take())
}

// Connection takes a free connection of server, or reports that this member has none.
func (l *Ledger) Connection(server string) (dotterelusher.Permit, bool) {
	s, ok := (*l.servers.Load())[server]
	if !ok {
		return nil, false
	}
	return taken(s.connections.take())
}

// taken keeps a nil permit from becoming an interface that is not nil.
func taken(p *permit) (dotterelusher.Permit, bool) {
	if p == nil {
		return nil, false
	}
	return p, true
}

// Slots returns how many slots of server this member may use and how many of them are free.
func (l *Ledger) Slots(server string) (usable, free int) {
	s, ok := (*l.servers.Load())[server]
	if !ok {
		return 0, 0
	}
	return s.slots.counts()
}

// FreeSlots returns the number of free slots over all servers.
func (l *Ledger) FreeSlots() int {
	sum := 0
	for _, s := range *l.servers.Load() {
		_, free := s.slots.counts()
		sum += free
	}
	return sum
}

// Changed returns a channel that is closed at the next change of any share.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// AcknowledgedBy returns the highest epoch that this process has acknowledged as
// the member of incarnation, a promise to use nothing but what it holds in that
// epoch or adopts later; zero is none.
func (l *Ledger) AcknowledgedBy(incarnation int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self.Incarnation != incarnation {
		return 0
	}
	return l.acknowledged
}

// Drained reports whether nothing is in use outside what is held.
func (l *Ledger) Drained() bool {
	return l.strays.Load() == 0
}

// Adopt makes view the one in force for the member self. A view of an earlier
// epoch than the one adopted is ignored, unless self is another process identity.
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
	l.noteGone(view)
	l.forget(view)
	l.applyAll()
	l.acknowledge()
}

// Acknowledge takes in that member has acknowledged epoch.
func (l *Ledger) Acknowledge(member Member, epoch int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acks.add(member, epoch) && len(l.view.Open) > 0 {
		l.applyAll()
	}
}

// SetServers makes servers the backend servers of this failure domain. One that
// is no longer listed takes nothing from now on, and is forgotten at a later
// call: a permit may be taken on it at this very moment, and has to be counted
// should the server be listed again.
func (l *Ledger) SetServers(servers []dotterhost.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maps.Clone(*l.servers.Load())
	listed := map[string]bool{}
	for _, h := range servers {
		listed[h.Name] = true
		if next[h.Name] == nil {
			next[h.Name] = newServer(h.Name, &l.strays, l.strayEnded)
		}
		next[h.Name].resize(h)
	}
	for name, s := range next {
		if listed[name] {
			continue
		}
		if s.closed() {
			delete(next, name)
		}
		s.resize(dotterhost.Host{})
	}
	l.servers.Store(&next)
	l.applyAll()
	l.acknowledge()
}

// Refresh makes usable what members held that are gone for the settling time.
func (l *Ledger) Refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.view.Gone) > 0 {
		l.applyAll()
	}
}

// LetGo reports whether nobody needs to wait for m because of epoch.
func (l *Ledger) LetGo(m Member, epoch int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.letGo(m, epoch, l.view.Current.Number)
}

func (l *Ledger) letGo(m Member, epoch, limit int64) bool {
	if m == l.self {
		return l.acknowledged > epoch && l.acknowledged <= limit
	}
	if at, ok := l.goneAt[m]; ok && l.clock.Now() >= at+l.settle {
		return true
	}
	return l.acks.between(m, epoch, limit)
}

func (l *Ledger) noteGone(view View) {
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

// forget drops the acknowledgements of members for whom nobody waits any more.
func (l *Ledger) forget(view View) {
	keep := map[Member]bool{}
	for _, m := range view.Current.Members {
		keep[m] = true
	}
	for _, e := range view.Open {
		for _, m := range e.Members {
			keep[m] = true
		}
	}
	l.acks.keepOnly(keep)
}

// applyAll recomputes every pool and tells those who wait for a change.
func (l *Ledger) applyAll() {
	r := newRule(l.self, l.view, l.letGo)
	for _, s := range *l.servers.Load() {
		s.apply(r)
	}
	l.signal()
}

// signal tells those who wait for a change.
func (l *Ledger) signal() {
	close(l.changed)
	l.changed = make(chan struct{})
	l.metrics.observe(l)
}

// acknowledge promises the adopted epoch once nothing in use lies outside it.
// No stray can appear afterwards without another call of Adopt or SetServers.
func (l *Ledger) acknowledge() {
	if l.strays.Load() > 0 || l.view.Current.Number == 0 {
		return
	}
	l.acknowledged = max(l.acknowledged, l.view.Current.Number)
}

// strayEnded acknowledges the adopted epoch if the last stray has ended.
func (l *Ledger) strayEnded() {
	if l.strays.Load() > 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.acknowledged
	l.acknowledge()
	if l.acknowledged != before {
		l.signal()
	}
}
