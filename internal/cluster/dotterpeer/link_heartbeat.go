package dotterpeer

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

func (l *link) receiveHeartbeat(r *jsonrpc2.Request) {
	var b heartbeat
	if r.Params == nil || json.Unmarshal(*r.Params, &b) != nil {
		return
	}
	peerState := l.applyHeartbeat(b)
	if b.Ask {
		l.triggerHeartbeat()
	}
	if b.State != nil && peerState.Identity.Name != "" {
		l.mesh.notifyWatchers(peerState)
	}
}

// applyHeartbeat records a received heartbeat and returns the resulting state of
// the other side.
func (l *link) applyHeartbeat(b heartbeat) PeerState {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastHeartbeat = l.mesh.clock.Now()
	l.suspectedAt = 0
	if b.Period > 0 {
		l.remotePeriod = b.Period
	}
	if b.State != nil {
		l.remoteState = *b.State
	}
	if b.FreeSlots != nil {
		l.remoteState.FreeSlots = *b.FreeSlots
	}
	return PeerState{Identity: l.remote, State: l.remoteState}
}

// suspect marks the link as possibly dead because the other side did not answer a
// call in time, and asks the other side for a heartbeat. The link is closed unless
// a heartbeat arrives within suspicionTimeout.
func (l *link) suspect() {
	l.mu.Lock()
	if l.suspectedAt == 0 {
		l.suspectedAt = l.mesh.clock.Now()
	}
	l.mu.Unlock()
	l.triggerHeartbeat()
}

// run sends heartbeats for as long as the link lasts, once it is admitted. A link
// that is not admitted within handshakeTimeout is closed.
func (l *link) run(dying <-chan struct{}) {
	defer l.conn.Close()
	select {
	case <-l.admitted:
		l.sendHeartbeats(dying)
	case <-l.conn.DisconnectNotify():
	case <-dying:
	case <-l.mesh.clock.After(handshakeTimeout):
	}
}

// sendHeartbeats sends heartbeats until the link ends or the other side becomes
// unresponsive.
func (l *link) sendHeartbeats(dying <-chan struct{}) {
	for {
		if !l.sendHeartbeat() {
			return
		}
		select {
		case <-dying:
			return
		case <-l.conn.DisconnectNotify():
			return
		case <-l.sendNow:
		case <-l.mesh.clock.After(l.nextDelay()):
		}
		if l.unresponsive() {
			l.mesh.metrics.silentLinks.Inc()
			l.mesh.logger.Warn("closing unresponsive peer link", zap.String("Peer", l.identity().Name))
			return
		}
	}
}

// nextDelay returns the time until the next heartbeat is sent. While the link is
// suspected, it is at most suspicionTimeout, so that the link is checked in time.
func (l *link) nextDelay() dotterclock.Millis {
	period := jitter(l.mesh.heartbeatPeriod(l.identity()))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.suspectedAt > 0 {
		return min(period, suspicionTimeout)
	}
	return period
}

// unresponsive reports whether the other side's heartbeats are overdue.
func (l *link) unresponsive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.mesh.clock.Now()
	return now-l.lastHeartbeat > maxMissedHeartbeats*l.remotePeriod || (l.suspectedAt > 0 && now-l.suspectedAt >= suspicionTimeout)
}

// sendHeartbeat sends one heartbeat and reports whether the link accepted it.
func (l *link) sendHeartbeat() bool {
	b := l.nextHeartbeat(l.mesh.State(), l.mesh.heartbeatPeriod(l.identity()))
	l.mesh.metrics.messagesSent.Inc()
	return l.conn.Notify(context.Background(), methodHeartbeat, b) == nil
}

// nextHeartbeat returns a heartbeat with what has changed since the previous one on
// this link.
func (l *link) nextHeartbeat(state State, period dotterclock.Millis) heartbeat {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := heartbeat{Ask: l.suspectedAt > 0}
	if period != l.announcedPeriod {
		b.Period = period
		l.announcedPeriod = period
	}
	switch {
	case !l.hasSentState || state.changedUrgently(l.sentState):
		b.State = &state
	case state.loadChanged(l.sentState):
		b.FreeSlots = &state.FreeSlots
	default:
		return b
	}
	l.sentState = state
	l.hasSentState = true
	return b
}

// triggerHeartbeat makes sendHeartbeats send a heartbeat without waiting for the
// period to end.
func (l *link) triggerHeartbeat() {
	select {
	case l.sendNow <- struct{}{}:
	default:
	}
}
