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
	// maxConcurrentCalls limits the calls from the other side that are handled at
	// the same time.
	maxConcurrentCalls = 512
	// codeBusy is the error code of a call refused because of maxConcurrentCalls.
	codeBusy = -32000
	// codeDuplicateLink is the error code of a Hello on a link that duplicates
	// another one.
	codeDuplicateLink = -32001
)

// link is one connection to another entry host.
type link struct {
	mesh       *Mesh
	conn       *jsonrpc2.Conn
	dialed     string // address that this host dialed; empty if the other side dialed
	startedAt  dotterclock.Millis
	callSlots  chan struct{} // semaphore: holds one element for each call being handled
	opened     chan struct{} // closed once conn is set
	identified chan struct{} // closed once remote is set
	admitted   chan struct{} // closed once this is the mesh's link to the other side
	sendNow    chan struct{} // signals that a heartbeat is to be sent at once

	mu              sync.Mutex
	remote          Identity
	remoteState     State
	lastHeartbeat   dotterclock.Millis // when the last heartbeat arrived; the link's start before the first
	remotePeriod    dotterclock.Millis // heartbeat period announced by the other side
	sentState       State              // state last sent on this link
	hasSentState    bool               // whether sentState is valid
	announcedPeriod dotterclock.Millis // heartbeat period last announced by this side
	suspectedAt     dotterclock.Millis // when a call first went unanswered since the last heartbeat; 0 if none
}

var _ jsonrpc2.Handler = (*link)(nil)

func newLink(m *Mesh, dialed string) *link {
	now := m.clock.Now()
	return &link{
		mesh:          m,
		dialed:        dialed,
		startedAt:     now,
		lastHeartbeat: now,
		remotePeriod:  MinHeartbeatPeriod,
		callSlots:     make(chan struct{}, maxConcurrentCalls),
		opened:        make(chan struct{}),
		identified:    make(chan struct{}),
		admitted:      make(chan struct{}),
		sendNow:       make(chan struct{}, 1),
	}
}

// identify records the identity of the other side. It must be called only once.
func (l *link) identify(remote Identity) {
	l.mu.Lock()
	l.remote = remote
	l.mu.Unlock()
	close(l.identified)
}

// identity returns the identity of the other side, or the zero Identity before
// identify.
func (l *link) identity() Identity {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remote
}

// Handle implements jsonrpc2.Handler. Hello and Beat messages are handled in the
// order of their arrival, all others concurrently.
func (l *link) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	<-l.opened
	l.mesh.metrics.messagesReceived.Inc()
	switch r.Method {
	case methodHeartbeat:
		l.receiveHeartbeat(r)
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
		refusal := &jsonrpc2.Error{Code: codeDuplicateLink, Message: "another link is kept"}
		l.logReplyError(c.ReplyWithError(ctx, r.ID, refusal))
		c.Close()
		return
	}
	l.logReplyError(c.Reply(ctx, r.ID, l.mesh.self))
}

// peer describes the other side according to its last heartbeat.
func (l *link) peer() dotterelusher.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return dotterelusher.Peer{
		Name:          l.remote.Name,
		FailureDomain: l.remote.FailureDomain,
		CallerAddress: l.remote.CallerAddress,
		HeardAt:       l.lastHeartbeat,
		Revision:      l.remoteState.Revision,
		FreeSlots:     l.remoteState.FreeSlots,
		Leaving:       l.remoteState.Leaving,
		Shards:        l.remoteState.Shards,
	}
}
