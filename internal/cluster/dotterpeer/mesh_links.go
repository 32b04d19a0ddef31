package dotterpeer

import (
	"context"
	"log"
	"net"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
)

// accept takes links that other entry hosts dial.
func (m *Mesh) accept() error {
	for {
		c, err := m.listener.Accept()
		if err != nil && !m.tomb.Alive() {
			return nil
		}
		if err != nil {
			m.logger.Warn("accepting a peer link", zap.Error(err))
			m.pause(dialPeriod)
			continue
		}
		m.start(c, "")
	}
}

// start runs JSON-RPC on c.
func (m *Mesh) start(c net.Conn, dialed string) *link {
	l := newLink(m, dialed)
	stream := jsonrpc2.NewBufferedStream(conn{Conn: c, metrics: m.metrics}, codec{})
	logger := log.New(logWriter{m.logger}, "", 0)
	l.conn = jsonrpc2.NewConn(context.Background(), stream, l, jsonrpc2.SetLogger(logger))
	close(l.opened)
	if m.countOpen() > linkLimit {
		l.conn.Close()
	}
	m.tomb.Go(func() error {
		l.run(m.tomb.Dying())
		m.forget(l)
		return nil
	})
	return l
}

// forget drops a link that has ended.
func (m *Mesh) forget(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open--
	name := l.identity().Name
	if m.links[name] != l {
		return
	}
	delete(m.links, name)
	m.metrics.links.Set(float64(len(m.links)))
	m.logger.Info("peer link ended", zap.String("Peer", name))
}

// countOpen adds one to the connections that are open and returns their number.
func (m *Mesh) countOpen() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open++
	return m.open
}

// admit makes l the link to its peer and reports whether it is to be kept.
func (m *Mesh) admit(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := l.identity().Name
	former := m.links[name]
	if name == m.self.Name || (former != nil && !m.replaces(l, former)) {
		return false
	}
	m.links[name] = l
	close(l.kept)
	m.metrics.links.Set(float64(len(m.links)))
	if former != nil {
		former.conn.Close()
	}
	m.logger.Info("peer link", zap.String("Peer", name), zap.String("Dialed", l.dialed))
	return true
}

// replaces reports whether l is kept instead of former. A host dials only when
// it has no link, so a new link replaces an old one; of two that were dialled
// at the same time by both ends, both keep the one dialled by the smaller name.
func (m *Mesh) replaces(l, former *link) bool {
	remote := l.identity()
	if remote.Incarnation != former.identity().Incarnation {
		return remote.Incarnation > former.identity().Incarnation
	}
	dialed := l.dialed != ""
	if dialed == (former.dialed != "") || m.clock.Now()-former.since > handshakeTimeout {
		return true
	}
	return dialed == (m.self.Name < remote.Name)
}
