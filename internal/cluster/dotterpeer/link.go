package dotterpeer

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Limits of one link.
const (
	// concurrentCalls is the most calls from the other side that are handled at a time.
	concurrentCalls = 512
	// codeBusy is the error code of a call refused because of concurrentCalls.
	codeBusy = -32000
	// codeDuplicate is the error code of a hello for which another link is kept.
	codeDuplicate = -32001
)

// link is one connection to another entry host.
type link struct {
	mesh   *Mesh
	conn   *jsonrpc2.Conn
	dialed string // the address that this host dialled; empty if the other one did
	since  dotterclock.Millis
	slots  chan struct{} // one element for each call being handled
	opened chan struct{} // closed once conn is set
	ready  chan struct{} // closed once the other side is known
	kept   chan struct{} // closed once this is the link to the other side
	poke   chan struct{} // asks for a beat at once

	mu     sync.Mutex
	remote Identity
	state  State
	heard  dotterclock.Millis // last heartbeat, or the link's start
	period dotterclock.Millis // that the other side has announced
	sent   State              // state last sent on this link
	told   bool               // whether sent is valid
	pace   dotterclock.Millis // period last announced by this side
	doubt  dotterclock.Millis // since when the other side is to prove that it hears; 0: not
}

var _ jsonrpc2.Handler = (*link)(nil)

func newLink(m *Mesh, dialed string) *link {
	now := m.clock.Now()
	return &link{
		mesh:   m,
		dialed: dialed,
		since:  now,
		heard:  now,
		period: BeatPeriod,
		slots:  make(chan struct{}, concurrentCalls),
		opened: make(chan struct{}),
		ready:  make(chan struct{}),
		kept:   make(chan struct{}),
		poke:   make(chan struct{}, 1),
	}
}

// identify sets who is at the other end; it is called once.
func (l *link) identify(remote Identity) {
	l.mu.Lock()
	l.remote = remote
	l.mu.Unlock()
	close(l.ready)
}

// identity returns who is at the other end.
func (l *link) identity() Identity {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remote
}

// Handle implements jsonrpc2.Handler. Heartbeats and greetings are handled in
// order; everything else runs beside them.
func (l *link) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	<-l.opened
	l.mesh.metrics.messagesReceived.Inc()
	switch r.Method {
	case methodBeat:
		l.receiveBeat(r)
	case methodHello:
		l.receiveHello(ctx, c, r)
	default:
		l.serve(ctx, c, r)
	}
}

func (l *link) receiveHello(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	var remote Identity
	if r.Params == nil || json.Unmarshal(*r.Params, &remote) != nil || remote.Name == "" {
		c.Close()
		return
	}
	if l.identity().Name != "" {
		c.Close()
		return
	}
	l.identify(remote)
	if !l.mesh.admit(l) {
		refusal := &jsonrpc2.Error{Code: codeDuplicate, Message: "another link is kept"}
		l.logFailure(c.ReplyWithError(ctx, r.ID, refusal))
		c.Close()
		return
	}
	l.logFailure(c.Reply(ctx, r.ID, l.mesh.self))
}

// peer returns the other side as last heard from.
func (l *link) peer() dotterelusher.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return dotterelusher.Peer{
		Name:          l.remote.Name,
		FailureDomain: l.remote.FailureDomain,
		CallerAddress: l.remote.CallerAddress,
		HeardAt:       l.heard,
		Revision:      l.state.Revision,
		FreeSlots:     l.state.FreeSlots,
		Leaving:       l.state.Leaving,
		Shards:        l.state.Shards,
	}
}
