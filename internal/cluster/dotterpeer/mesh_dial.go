package dotterpeer

import (
	"context"
	"net"
	"slices"

	"go.uber.org/zap"
)

// SetAddresses sets the addresses to dial, in addition to the seeds.
func (m *Mesh) SetAddresses(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := map[string]*target{}
	for _, a := range slices.Concat(m.seeds, addresses) {
		if a == m.self.Address || len(next) >= maxLinks {
			continue
		}
		next[a] = m.targets[a]
		if next[a] == nil {
			next[a] = &target{}
		}
	}
	m.targets = next
}

// dialAll dials all addresses to which there is no link, until the mesh is stopped.
func (m *Mesh) dialAll() error {
	for {
		for _, a := range m.dueAddresses() {
			m.tomb.Go(func() error {
				m.dial(a)
				return nil
			})
		}
		if !m.pause(dialInterval) {
			return nil
		}
	}
}

// dueAddresses returns the addresses to dial now and marks them as being dialed.
func (m *Mesh) dueAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	linked := map[string]bool{}
	for _, l := range m.links {
		linked[l.identity().Address] = true
		linked[l.dialed] = true
	}
	now := m.clock.Now()
	var due []string
	for a, t := range m.targets {
		if linked[a] || !t.due(now) {
			continue
		}
		t.dialing = true
		due = append(due, a)
	}
	return due
}

// dial tries once to establish a link to address and updates its backoff.
func (m *Mesh) dial(address string) {
	err := m.connect(address)
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.targets[address]
	if t == nil {
		return
	}
	t.dialing = false
	if err != nil {
		t.recordFailure(m.clock.Now())
		m.logger.Debug("failed to dial peer", zap.String("Address", address), zap.Error(err))
		return
	}
	t.recordSuccess(m.clock.Now())
}

func (m *Mesh) connect(address string) error {
	ctx, cancel := context.WithTimeout(m.tomb.Context(context.Background()), handshakeTimeout.Duration())
	defer cancel()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	l := m.startLink(c, address)
	var remote Identity
	if err := l.conn.Call(ctx, methodHello, m.self, &remote); err != nil {
		l.conn.Close()
		return err
	}
	l.identify(remote)
	if !m.admit(l) {
		l.conn.Close()
		return nil
	}
	m.notifyRemoteState(l)
	return nil
}

// notifyRemoteState passes the state of the other side to the watchers. It covers
// heartbeats that arrived before the link was identified.
func (m *Mesh) notifyRemoteState(l *link) {
	l.mu.Lock()
	peerState := PeerState{Identity: l.remote, State: l.remoteState}
	l.mu.Unlock()
	m.notifyWatchers(peerState)
}
