package dotterconnection

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// ErrNoConnection means that this host has no connection permit left for the server.
// It is an ErrBackendNotSent that does not indicate a fault of the server.
var ErrNoConnection = eris.Wrap(dotterelusher.ErrBackendNotSent, "no free connection")

// probeWaitMillis is how long a request waits for the answer to a probe before it
// opens a new connection.
const probeWaitMillis dotterclock.Millis = 20

// pool holds the connections to one backend server.
type pool struct {
	client  *Client
	name    string
	address string

	mu         sync.Mutex
	idle       []*connection // the most recently used one is last
	generation int64         // incremented by markSuspect; connections of an older one are suspect
	probing    int           // connections that are being probed or wait for their probe
	freed      chan struct{} // closed when a connection or a permit becomes free
	closed     bool
	usedAt     dotterclock.Millis
}

func newPool(client *Client, server dotterhost.Host) *pool {
	return &pool{
		client:  client,
		name:    server.Name,
		address: server.Address,
		freed:   make(chan struct{}),
	}
}

// take returns an idle connection that is fit for use or a new one, or else an
// ErrBackendNotSent. It waits if this host has no connection permit left.
func (p *pool) take(ctx context.Context) (*connection, error) {
	timeout := time.NewTimer(p.client.settings.DialTimeoutMillis.Duration())
	defer timeout.Stop()
	for {
		conn, freed, probing := p.takeIdle()
		if conn != nil {
			return conn, nil
		}
		if probing && p.awaitProbe(freed) {
			continue
		}
		permit, ok := p.client.permits.Connection(p.name)
		if ok {
			return p.dial(ctx, permit)
		}
		select {
		case <-freed:
		case <-timeout.C:
			return nil, ErrNoConnection
		case <-ctx.Done():
			return nil, eris.Wrap(dotterelusher.ErrBackendNotSent, "the time is up")
		}
	}
}

// awaitProbe waits up to probeWaitMillis and reports whether a connection or permit
// has become free. A probe is answered as soon as a new connection would be open.
func (p *pool) awaitProbe(freed <-chan struct{}) bool {
	select {
	case <-freed:
		return true
	case <-p.client.clock.After(probeWaitMillis):
		return false
	}
}

// takeIdle returns an idle connection that may be used without a probe, or nil. If
// the most recently used one needs a probe, it is probed in the background, probing
// is true, and the others stay idle, since they have been idle for even longer.
func (p *pool) takeIdle() (conn *connection, freed <-chan struct{}, probing bool) {
	now := p.client.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedAt = now
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		conn := p.idle[last]
		p.idle = p.idle[:last]
		switch {
		case conn.withdrawn() || !conn.reusable():
			p.client.background(func() { p.retire(conn) })
		case p.needsProbe(conn, now):
			p.probing++
			p.client.background(func() { p.probeAll([]*connection{conn}) })
			return nil, p.freed, true
		default:
			return conn, nil, false
		}
	}
	return nil, p.freed, false
}

// needsProbe reports whether conn is suspect or was idle for long.
func (p *pool) needsProbe(conn *connection, now dotterclock.Millis) bool {
	return conn.generation < p.generation || now-conn.idleSince > p.client.settings.ProbeIdleMillis
}

// dial opens a new connection that holds permit.
func (p *pool) dial(ctx context.Context, permit dotterelusher.Permit) (*connection, error) {
	netConn, err := p.client.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		permit.Release()
		p.notifyFreed()
		return nil, eris.Wrapf(dotterelusher.ErrBackendNotSent, "dial %s: %v", p.address, err)
	}
	return newConnection(netConn, permit), nil
}

// put returns conn to the pool after a complete answer, or retires it.
func (p *pool) put(conn *connection) {
	conn.idleSince = p.client.clock.Now()
	p.mu.Lock()
	conn.generation = p.generation
	keep := !p.closed && !conn.withdrawn() && conn.reader.Buffered() == 0
	if keep {
		p.idle = append(p.idle, conn)
		p.notifyFreedLocked()
	}
	p.mu.Unlock()
	if !keep {
		p.client.background(func() { p.retire(conn) })
	}
}

// probeAll probes connections one after the other. A server may count a probe as a
// request, so this uses at most one slot. If a probe fails, the connections that are
// not probed yet are retired too.
func (p *pool) probeAll(connections []*connection) {
	defer p.probesEnded(len(connections))
	for i, conn := range connections {
		if p.probe(conn) {
			continue
		}
		for _, other := range connections[i+1:] {
			p.client.background(func() { p.retire(other) })
		}
		return
	}
}

// probe sends a health check over conn and returns conn to the pool if the server
// answers it. It returns false if conn was closed instead: because there was no
// answer, or because no slot was free for the probe.
func (p *pool) probe(conn *connection) bool {
	slot, ok := p.client.permits.Slot(p.name)
	if !ok {
		p.client.background(func() { p.retire(conn) })
		return false
	}
	if p.sendProbe(conn) {
		slot.Release()
		p.put(conn)
		return true
	}
	p.client.background(func() {
		p.abandon(conn)
		slot.Release()
	})
	return false
}

// probesEnded ends the accounting for count connections that were to be probed.
func (p *pool) probesEnded(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing -= count
}

// sendProbe sends a health check over conn and reports whether the server answered
// and keeps the connection open.
func (p *pool) sendProbe(conn *connection) bool {
	request, err := http.NewRequest(http.MethodHead, "http://"+p.address+p.client.settings.ProbePath, nil)
	if err != nil {
		return false
	}
	_ = conn.net.SetDeadline(time.Now().Add(p.client.settings.ProbeTimeoutMillis.Duration()))
	_, err = conn.write(request)
	if err != nil {
		return false
	}
	response, err := conn.readHead(request)
	if err != nil {
		return false
	}
	return !response.Close
}

// markSuspect makes all connections suspect. Idle connections are probed now, and
// busy ones before their next use, unless their own request is answered first.
func (p *pool) markSuspect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	if len(p.idle) == 0 {
		return
	}
	idle := p.idle
	p.idle = nil
	p.probing += len(idle)
	p.client.background(func() { p.probeAll(idle) })
}

// retire closes conn gracefully. It releases the permit when the server has closed
// the connection too, or after LateAnswerMillis if it does not.
func (p *pool) retire(conn *connection) {
	timeout := p.client.settings.ProbeTimeoutMillis.Duration()
	if !conn.closeGracefully(timeout) {
		p.client.wait(p.client.settings.LateAnswerMillis)
	}
	conn.permit.Release()
	p.notifyFreed()
}

// abandon closes a connection that failed. It keeps the permit for LateAnswerMillis,
// because the server may not have noticed yet that the connection is closed.
func (p *pool) abandon(conn *connection) {
	_ = conn.net.Close()
	p.client.wait(p.client.settings.LateAnswerMillis)
	conn.permit.Release()
	p.notifyFreed()
}

// sweep retires idle connections that are withdrawn, broken or idle for too long.
func (p *pool) sweep(now dotterclock.Millis) {
	p.mu.Lock()
	kept := p.idle[:0]
	for _, conn := range p.idle {
		old := now-conn.idleSince > p.client.settings.MaxIdleMillis
		if old || conn.withdrawn() || !conn.reusable() {
			p.client.background(func() { p.retire(conn) })
			continue
		}
		kept = append(kept, conn)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
}

// expired reports whether the pool has no idle connection, no probe and was unused
// for long. It closes the pool if so.
func (p *pool) expired(now dotterclock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	unused := now-p.usedAt > 2*p.client.settings.MaxIdleMillis
	p.closed = p.closed || unused && len(p.idle) == 0 && p.probing == 0
	return p.closed
}

// close closes the idle connections. Busy ones are closed after their requests.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, conn := range idle {
		_ = conn.net.Close()
		conn.permit.Release()
	}
}

// notifyFreed wakes the requests that wait for a connection or permit.
func (p *pool) notifyFreed() {
	p.mu.Lock()
	p.notifyFreedLocked()
	p.mu.Unlock()
}

func (p *pool) notifyFreedLocked() {
	close(p.freed)
	p.freed = make(chan struct{})
}
