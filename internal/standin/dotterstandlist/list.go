package dotterstandlist

import (
	"sort"
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// List is a host list whose changes become visible after a lag.
type List struct {
	clock dotterelusher.Clock

	mu      sync.Mutex
	lag     dotterclock.Millis
	current map[string]dotterhost.Host
	visible map[string]dotterhost.Host
	pending []pendingChange // oldest first
}

// pendingChange is a change that is not visible yet.
type pendingChange struct {
	changedAt dotterclock.Millis
	host      dotterhost.Host
	removed   bool
}

// New returns an empty list with the given lag.
func New(clock dotterelusher.Clock, lag dotterclock.Millis) *List {
	return &List{
		clock:   clock,
		lag:     lag,
		current: map[string]dotterhost.Host{},
		visible: map[string]dotterhost.Host{},
	}
}

// Seed adds hosts that are visible immediately.
func (l *List) Seed(hosts []dotterhost.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range hosts {
		l.current[h.Name] = h
		l.visible[h.Name] = h
	}
}

// Set adds or replaces a host. The change becomes visible after the lag.
func (l *List) Set(host dotterhost.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current[host.Name] = host
	l.pending = append(l.pending, pendingChange{changedAt: l.clock.Now(), host: host})
}

// Remove removes the host with the given name. The change becomes visible after the lag.
func (l *List) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	host := l.current[name]
	delete(l.current, name)
	host.Name = name
	l.pending = append(l.pending, pendingChange{changedAt: l.clock.Now(), host: host, removed: true})
}

// Find returns the current state of the host with the given name, regardless of the lag.
func (l *List) Find(name string) (dotterhost.Host, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	host, ok := l.current[name]
	return host, ok
}

// SetLag changes the lag. The new lag also applies to pending changes.
func (l *List) SetLag(lag dotterclock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Hosts returns the visible hosts, sorted by name.
func (l *List) Hosts() []dotterhost.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyPending()
	hosts := make([]dotterhost.Host, 0, len(l.visible))
	for _, h := range l.visible {
		hosts = append(hosts, h)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// applyPending makes changes visible that are at least as old as the lag. The caller holds mu.
func (l *List) applyPending() {
	now := l.clock.Now()
	for len(l.pending) > 0 && l.pending[0].changedAt+l.lag <= now {
		change := l.pending[0]
		l.pending = l.pending[1:]
		if change.removed {
			delete(l.visible, change.host.Name)
			continue
		}
		l.visible[change.host.Name] = change.host
	}
}
