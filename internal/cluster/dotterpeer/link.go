package dotterpeer

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

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

func (l *link) receiveBeat(r *jsonrpc2.Request) {
	var b beat
	if r.Params == nil || json.Unmarshal(*r.Params, &b) != nil {
		return
	}
	told := l.applyBeat(b)
	if b.Ask {
		l.hasten()
	}
	if b.State != nil && told.Identity.Name != "" {
		l.mesh.observe(told)
	}
}

// applyBeat takes in a heartbeat and returns the state it leads to.
func (l *link) applyBeat(b beat) PeerState {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = l.mesh.clock.Now()
	l.doubt = 0
	if b.Period > 0 {
		l.period = b.Period
	}
	if b.State != nil {
		l.state = *b.State
	}
	if b.FreeSlots != nil {
		l.state.FreeSlots = *b.FreeSlots
	}
	return PeerState{Identity: l.remote, State: l.state}
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

// serve handles a call in a goroutine of its own, or refuses it when too many run.
func (l *link) serve(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	select {
	case l.slots <- struct{}{}:
	default:
		l.logFailure(c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: codeBusy, Message: "too many calls"}))
		return
	}
	go func() {
		defer func() { <-l.slots }()
		l.answer(ctx, c, r)
	}()
}

func (l *link) answer(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	select {
	case <-l.ready:
	case <-ctx.Done():
		return
	}
	handler, ok := l.mesh.handlers[r.Method]
	if !ok {
		l.logFailure(c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"}))
		return
	}
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	result, err := handler(ctx, l.identity().Name, params)
	if err != nil {
		l.logFailure(c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}))
		return
	}
	l.mesh.metrics.messagesSent.Inc()
	l.logFailure(c.Reply(ctx, r.ID, result))
}

// call calls method on the other side.
func (l *link) call(ctx context.Context, method string, args, reply any) error {
	l.mesh.metrics.messagesSent.Inc()
	err := l.conn.Call(ctx, method, args, reply)
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrMessageTooLarge):
		return err
	case errors.As(err, &remote) && remote.Code == codeBusy:
		return eris.Wrap(dotterelusher.ErrPeerUnreachable, remote.Message)
	case errors.As(err, &remote):
		return &RemoteError{Host: l.identity().Name, Method: method, Message: remote.Message}
	default:
		l.suspect()
		return eris.Wrap(dotterelusher.ErrPeerIndeterminate, err.Error())
	}
}

// suspect makes the other side prove soon that it hears, because it did not
// answer a call in time.
func (l *link) suspect() {
	l.mu.Lock()
	if l.doubt == 0 {
		l.doubt = l.mesh.clock.Now()
	}
	l.mu.Unlock()
	l.hasten()
}

// run ends the link unless it is kept in time, and then sends heartbeats for as
// long as it lasts.
func (l *link) run(dying <-chan struct{}) {
	defer l.conn.Close()
	select {
	case <-l.kept:
		l.beat(dying)
	case <-l.conn.DisconnectNotify():
	case <-dying:
	case <-l.mesh.clock.After(handshakeTimeout):
	}
}

// beat sends heartbeats until the link ends or the other side's stay away.
func (l *link) beat(dying <-chan struct{}) {
	for {
		if !l.sendBeat() {
			return
		}
		select {
		case <-dying:
			return
		case <-l.conn.DisconnectNotify():
			return
		case <-l.poke:
		case <-l.mesh.clock.After(l.nextWait()):
		}
		if l.silent() {
			l.mesh.metrics.silent.Inc()
			l.mesh.logger.Warn("peer link is silent", zap.String("Peer", l.identity().Name))
			return
		}
	}
}

// nextWait returns the span until the next heartbeat, or until a suspected
// link has to have proved itself.
func (l *link) nextWait() dotterclock.Millis {
	pace := jitter(l.mesh.pace(l.identity()))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.doubt > 0 {
		return min(pace, proofTimeout)
	}
	return pace
}

// silent reports whether the other side's heartbeats stay away.
func (l *link) silent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.mesh.clock.Now()
	return now-l.heard > silentBeats*l.period || (l.doubt > 0 && now-l.doubt >= proofTimeout)
}

// sendBeat sends one heartbeat and reports whether the link still works.
func (l *link) sendBeat() bool {
	b := l.nextBeat(l.mesh.State(), l.mesh.pace(l.identity()))
	l.mesh.metrics.messagesSent.Inc()
	return l.conn.Notify(context.Background(), methodBeat, b) == nil
}

// nextBeat returns the heartbeat that says what has changed.
func (l *link) nextBeat(state State, pace dotterclock.Millis) beat {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := beat{Ask: l.doubt > 0}
	if pace != l.pace {
		b.Period = pace
		l.pace = pace
	}
	switch {
	case !l.told || state.urgent(l.sent):
		b.State = &state
	case state.loadMoved(l.sent):
		b.FreeSlots = &state.FreeSlots
	default:
		return b
	}
	l.sent = state
	l.told = true
	return b
}

// hasten asks for a heartbeat at once.
func (l *link) hasten() {
	select {
	case l.poke <- struct{}{}:
	default:
	}
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

// logFailure notes an answer that could not be sent; the link ends by itself.
func (l *link) logFailure(err error) {
	if err == nil || errors.Is(err, jsonrpc2.ErrClosed) {
		return
	}
	l.mesh.logger.Debug("peer answer not sent", zap.String("Peer", l.identity().Name), zap.Error(err))
}
