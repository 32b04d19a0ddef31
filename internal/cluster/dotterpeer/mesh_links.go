package dotterpeer

import (
	"context"
	"log"
	"net"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
)

// accept accepts the connections of other entry hosts until the mesh is stopped.
func (m *Mesh) accept() error {
	for {
		c, err := m.listener.Accept()
		if err != nil && !m.tomb.Alive() {
			return nil
		}
		if err != nil {
			m.logger.Warn("failed to accept peer link", zap.Error(err))
			m.pause(dialInterval)
			continue
		}
		m.startLink(c, "")
	}
}

// startLink runs JSON-RPC on c. Above maxLinks the connection is closed at once.
func (m *Mesh) startLink(c net.Conn, dialed string) *link {
	l := newLink(m, dialed)
	stream := jsonrpc2.NewBufferedStream(conn{Conn: c, metrics: m.metrics}, codec{})
	logger := log.New(logWriter{m.logger}, "", 0)
	l.conn = jsonrpc2.NewConn(context.Background(), stream, l, jsonrpc2.SetLogger(logger))
	close(l.opened)
	if m.addConnection() > maxLinks {
		l.conn.Close()
	}
	m.tomb.Go(func() error {
		l.run(m.tomb.Dying())
		m.removeLink(l)
		return nil
	})
	return l
}

// removeLink removes a link that has ended, unless another has replaced it.
func (m *Mesh) removeLink(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.openConnections--
	name := l.identity().Name
	if m.links[name] != l {
		return
	}
	delete(m.links, name)
	m.metrics.links.Set(float64(len(m.links)))
	m.logger.Info("peer link closed", zap.String("Peer", name))
}

// addConnection counts a new open connection and returns the number of open ones.
func (m *Mesh) addConnection() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.openConnections++
	return m.openConnections
}

// admit makes l the link to its peer, closing a previous one, and reports true. It
// reports false if l must be closed instead: it leads to this host itself, or
// another link takes precedence.
func (m *Mesh) admit(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := l.identity().Name
	previous := m.links[name]
	if name == m.self.Name || (previous != nil && !m.replaces(l, previous)) {
		return false
	}
	m.links[name] = l
	close(l.admitted)
	m.metrics.links.Set(float64(len(m.links)))
	if previous != nil {
		previous.conn.Close()
	}
	m.logger.Info("peer link established", zap.String("Peer", name), zap.String("Dialed", l.dialed))
	return true
}

// replaces reports whether l takes precedence over previous. The link of the higher
// incarnation does. Otherwise the new link replaces the old one, since a host dials
// only while it has no link. If both ends dialed at the same time, both keep the
// link dialed by the host with the smaller name.
func (m *Mesh) replaces(l, previous *link) bool {
	remote := l.identity()
	if remote.Incarnation != previous.identity().Incarnation {
		return remote.Incarnation > previous.identity().Incarnation
	}
	dialed := l.dialed != ""
	if dialed == (previous.dialed != "") || m.clock.Now()-previous.startedAt > handshakeTimeout {
		return true
	}
	return dialed == (m.self.Name < remote.Name)
}
