package dotterpeer

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

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
