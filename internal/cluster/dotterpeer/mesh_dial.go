package dotterpeer

import (
	"context"
	"net"
	"slices"

	"go.uber.org/zap"
)

// SetAddresses makes addresses, and the seeds, those that are dialled.
func (m *Mesh) SetAddresses(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := map[string]*target{}
	for _, a := range slices.Concat(m.seeds, addresses) {
		if a == m.self.Address || len(next) >= linkLimit {
			continue
		}
		next[a] = m.targets[a]
		if next[a] == nil {
			next[a] = &target{}
		}
	}
	m.targets = next
}

// dialAll dials every address to which there is no link.
func (m *Mesh) dialAll() error {
	for {
		for _, a := range m.dueAddresses() {
			m.tomb.Go(func() error {
				m.dial(a)
				return nil
			})
		}
		if !m.pause(dialPeriod) {
			return nil
		}
	}
}

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

// dial makes one attempt at a link to address.
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
		t.failed(m.clock.Now())
		m.logger.Debug("dialling a peer", zap.String("Address", address), zap.Error(err))
		return
	}
	t.linked(m.clock.Now())
}

func (m *Mesh) connect(address string) error {
	ctx, cancel := context.WithTimeout(m.tomb.Context(context.Background()), handshakeTimeout.Duration())
	defer cancel()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	l := m.start(c, address)
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
	m.tell(l)
	return nil
}

// tell passes on a state that came before the link was identified.
func (m *Mesh) tell(l *link) {
	l.mu.Lock()
	told := PeerState{Identity: l.remote, State: l.state}
	l.mu.Unlock()
	m.observe(told)
}
