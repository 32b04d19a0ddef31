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

// ErrNoConnection means that this host may have no further connection to the
// server at present; it is an ErrBackendNotSent that says nothing about the server.
var ErrNoConnection = eris.Wrap(dotterelusher.ErrBackendNotSent, "no free connection")

// probeLeadMillis is how long a request waits for a probe before it opens a new
// connection.
const probeLeadMillis dotterclock.Millis = 20

// pool is the connections to one backend server.
type pool struct {
	client  *Client
	name    string
	address string

	mu        sync.Mutex
	idle      []*connection // the one used last is at the end
	suspicion int64         // rises with each lost exchange
	probing   int           // connections with a probe on the way
	freed     chan struct{} // closed when a connection or a permit becomes free
	closed    bool
	usedAt    dotterclock.Millis
}

func newPool(client *Client, server dotterhost.Host) *pool {
	return &pool{
		client:  client,
		name:    server.Name,
		address: server.Address,
		freed:   make(chan struct{}),
	}
}

// take returns a connection that is known to be in order, or an error that
// means that nothing was sent.
func (p *pool) take(ctx context.Context) (*connection, error) {
	limit := time.NewTimer(p.client.settings.DialMillis.Duration())
	defer limit.Stop()
	for {
		k, freed, probed := p.takeIdle()
		if k != nil {
			return k, nil
		}
		if probed && p.awaitProbe(freed) {
			continue
		}
		permit, ok := p.client.permits.Connection(p.name)
		if ok {
			return p.dial(ctx, permit)
		}
		select {
		case <-freed:
		case <-limit.C:
			return nil, ErrNoConnection
		case <-ctx.Done():
			return nil, eris.Wrap(dotterelusher.ErrBackendNotSent, "the time is up")
		}
	}
}

// awaitProbe waits a little for the answer to a probe, which comes as soon as a
// new connection would, and reports whether a connection has become free.
func (p *pool) awaitProbe(freed <-chan struct{}) bool {
	select {
	case <-freed:
		return true
	case <-p.client.clock.After(probeLeadMillis):
		return false
	}
}

// takeIdle returns an idle connection that may be used as it is, or nil. One
// that needs a probe first gets it in the background; those under it were used
// even earlier and stay where they are.
func (p *pool) takeIdle() (k *connection, freed <-chan struct{}, probed bool) {
	now := p.client.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedAt = now
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		k := p.idle[last]
		p.idle = p.idle[:last]
		switch {
		case k.withdrawn() || !k.quiet():
			p.client.background(func() { p.retire(k) })
		case p.doubtful(k, now):
			p.probing++
			p.client.background(func() { p.probeAll([]*connection{k}) })
			return nil, p.freed, true
		default:
			return k, nil, false
		}
	}
	return nil, p.freed, false
}

func (p *pool) doubtful(k *connection, now dotterclock.Millis) bool {
	return k.provenAt < p.suspicion || now-k.idleSince > p.client.settings.ProbeIdleMillis
}

func (p *pool) dial(ctx context.Context, permit dotterelusher.Permit) (*connection, error) {
	c, err := p.client.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		permit.Release()
		p.signal()
		return nil, eris.Wrapf(dotterelusher.ErrBackendNotSent, "dial %s: %v", p.address, err)
	}
	return newConnection(c, permit), nil
}

// put takes k back after a whole answer.
func (p *pool) put(k *connection) {
	k.idleSince = p.client.clock.Now()
	p.mu.Lock()
	k.provenAt = p.suspicion
	keep := !p.closed && !k.withdrawn() && k.reader.Buffered() == 0
	if keep {
		p.idle = append(p.idle, k)
		p.signalLocked()
	}
	p.mu.Unlock()
	if !keep {
		p.client.background(func() { p.retire(k) })
	}
}

// probeAll probes connections one after the other, so that it takes one slot at
// most: a server may count a probe as a request. Once one does not answer, the
// others are given up too.
func (p *pool) probeAll(connections []*connection) {
	defer p.probed(len(connections))
	for i, k := range connections {
		if p.probe(k) {
			continue
		}
		for _, other := range connections[i+1:] {
			p.client.background(func() { p.retire(other) })
		}
		return
	}
}

// probe asks for the server's health over k, takes k back when it answers, and
// reports whether it did. Without a slot k is given up.
func (p *pool) probe(k *connection) bool {
	slot, ok := p.client.permits.Slot(p.name)
	if !ok {
		p.client.background(func() { p.retire(k) })
		return false
	}
	if p.answersProbe(k) {
		slot.Release()
		p.put(k)
		return true
	}
	p.client.background(func() {
		p.abandon(k)
		slot.Release()
	})
	return false
}

func (p *pool) probed(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing -= count
}

func (p *pool) answersProbe(k *connection) bool {
	request, err := http.NewRequest(http.MethodHead, "http://"+p.address+p.client.settings.ProbePath, nil)
	if err != nil {
		return false
	}
	_ = k.net.SetDeadline(time.Now().Add(p.client.settings.ProbeMillis.Duration()))
	_, err = k.write(request)
	if err != nil {
		return false
	}
	response, err := k.readHead(request)
	if err != nil {
		return false
	}
	return !response.Close
}

// suspect has the idle connections probed now, and those that are busy before
// their next use unless their own request is answered first.
func (p *pool) suspect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspicion++
	if len(p.idle) == 0 {
		return
	}
	idle := p.idle
	p.idle = nil
	p.probing += len(idle)
	p.client.background(func() { p.probeAll(idle) })
}

// retire closes k and gives its permit back once the server has closed too.
func (p *pool) retire(k *connection) {
	span := p.client.settings.ProbeMillis.Duration()
	if !k.closeOrderly(span) {
		p.client.wait(p.client.settings.LateAnswerMillis)
	}
	k.permit.Release()
	p.signal()
}

// abandon closes k, which does not answer. Its permit is kept for a while: the
// server may not know yet that the connection is gone.
func (p *pool) abandon(k *connection) {
	_ = k.net.Close()
	p.client.wait(p.client.settings.LateAnswerMillis)
	k.permit.Release()
	p.signal()
}

// sweep closes idle connections that are withdrawn, broken or idle for too long.
func (p *pool) sweep(now dotterclock.Millis) {
	p.mu.Lock()
	kept := p.idle[:0]
	for _, k := range p.idle {
		old := now-k.idleSince > p.client.settings.MaxIdleMillis
		if old || k.withdrawn() || !k.quiet() {
			p.client.background(func() { p.retire(k) })
			continue
		}
		kept = append(kept, k)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
}

// forgotten reports whether the pool has no use left.
func (p *pool) forgotten(now dotterclock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	unused := now-p.usedAt > 2*p.client.settings.MaxIdleMillis
	p.closed = p.closed || unused && len(p.idle) == 0 && p.probing == 0
	return p.closed
}

// close closes the idle connections; busy ones follow after their requests.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, k := range idle {
		_ = k.net.Close()
		k.permit.Release()
	}
}

func (p *pool) signal() {
	p.mu.Lock()
	p.signalLocked()
	p.mu.Unlock()
}

func (p *pool) signalLocked() {
	close(p.freed)
	p.freed = make(chan struct{})
}
