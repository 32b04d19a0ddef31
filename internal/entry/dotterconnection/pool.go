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
		k, freed := p.takeIdle()
		if k != nil {
			return k, nil
		}
		permit, ok := p.client.permits.Connection(p.name)
		if ok {
			return p.dial(ctx, permit)
		}
		select {
		case <-freed:
		case <-limit.C:
			return nil, eris.Wrap(dotterelusher.ErrBackendNotSent, "no free connection")
		case <-ctx.Done():
			return nil, eris.Wrap(dotterelusher.ErrBackendNotSent, "the time is up")
		}
	}
}

// takeIdle returns an idle connection that may be used as it is, or nil; those
// that need a probe first get one in the background.
func (p *pool) takeIdle() (*connection, <-chan struct{}) {
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
			p.client.background(func() { p.probe(k) })
		default:
			return k, nil
		}
	}
	return nil, p.freed
}

func (p *pool) doubtful(k *connection, now dotterclock.Millis) bool {
	return k.provenAt < p.suspicion || now-k.idleSince > p.client.settings.ProbeIdleMillis
}

func (p *pool) dial(ctx context.Context, permit dotterelusher.Permit) (*connection, error) {
	p.mu.Lock()
	suspicion := p.suspicion
	p.mu.Unlock()
	c, err := p.client.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		permit.Release()
		p.signal()
		return nil, eris.Wrapf(dotterelusher.ErrBackendNotSent, "dial %s: %v", p.address, err)
	}
	k := newConnection(c, permit)
	k.provenAt = suspicion
	return k, nil
}

// put takes k back after a whole answer; suspicion is what the pool's was when
// the request was sent.
func (p *pool) put(k *connection, suspicion int64) {
	k.provenAt = suspicion
	k.idleSince = p.client.clock.Now()
	p.mu.Lock()
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

// probe asks for the server's health over k and takes it back when it answers.
func (p *pool) probe(k *connection) {
	p.mu.Lock()
	suspicion := p.suspicion
	p.mu.Unlock()
	alive := p.answersProbe(k)
	p.mu.Lock()
	p.probing--
	p.mu.Unlock()
	if alive {
		p.put(k, suspicion)
		return
	}
	p.abandon(k)
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

// suspect makes every other connection to the server be probed before use.
func (p *pool) suspect() {
	p.mu.Lock()
	p.suspicion++
	p.mu.Unlock()
}

func (p *pool) currentSuspicion() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspicion
}

// retire closes k and gives its permit back once the server has closed too.
func (p *pool) retire(k *connection) {
	span := p.client.settings.ProbeMillis.Duration()
	if !k.closeOrderly(span) {
		p.client.wait(p.client.settings.LateMillis)
	}
	k.permit.Release()
	p.signal()
}

// abandon closes k, which does not answer. Its permit is kept for a while: the
// server may not know yet that the connection is gone.
func (p *pool) abandon(k *connection) {
	_ = k.net.Close()
	p.client.wait(p.client.settings.LateMillis)
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
