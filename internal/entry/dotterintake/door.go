package dotterintake

import (
	"context"
	"net"
	"net/http"
	"time"
)

// refusalDivisor divides a door's limit: connections whose requests are being refused may exceed it by
// the quotient.
const refusalDivisor = 8

// Door is an address on which requests are accepted.
type Door struct {
	*Intake
	name  string
	limit int // of connections
	conns map[*conn]struct{}
}

// Door returns a new door with a limit of connections; 0 is that of the intake's limits.
func (i *Intake) Door(name string, connections int) *Door {
	if connections == 0 {
		connections = i.limits.Connections
	}
	d := &Door{Intake: i, name: name, limit: connections, conns: map[*conn]struct{}{}}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.doors = append(i.doors, d)
	return d
}

// Serve accepts connections until the server is shut down. It changes fields of the server, which
// must not be in use yet. Its error is that of http.Server.Serve.
func (d *Door) Serve(server *http.Server, l net.Listener) error {
	server.Handler = d.handler(server.Handler)
	server.ConnState = d.noteState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	return server.Serve(listener{l, d})
}

// handler returns a handler that tells the door how far requests have come.
func (d *Door) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		hasBody := r.ContentLength != 0
		if !c.begin(hasBody) {
			panic(http.ErrAbortHandler) // closed in favour of another caller
		}
		if hasBody {
			// The answer must not wait for the rest of a body that is not read. HTTP/1.1 supports this, so that it does not fail.
			_ = http.NewResponseController(w).EnableFullDuplex()
		}
		next.ServeHTTP(w, r)
		c.finish(w, r)
	})
}

// noteState follows connections that net/http keeps for another request.
func (d *Door) noteState(n net.Conn, state http.ConnState) {
	if c, ok := n.(*conn); ok && state == http.StateIdle {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.charge(c, 0)
		c.enter(idle, time.Now())
	}
}

// admit registers a connection. If the door has its limit, the connection of the least use that has
// waited the longest makes room; it returns false if there is none.
func (d *Door) admit(c *conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	c.enter(header, now)
	if len(d.conns) >= d.limit && !d.makeRoom(now) {
		return false
	}
	d.conns[c] = struct{}{}
	return true
}

// makeRoom interrupts a connection if as many as the limit are in use, or returns false if it cannot.
// Those that are being refused already do not count, as long as they are few.
func (d *Door) makeRoom(now time.Time) bool {
	var victim, refused *conn // those that have waited the longest
	inUse, ending := 0, 0
	for c := range d.conns {
		switch {
		case c.interrupted:
			ending++
		case c.phase == lingering:
			ending++
			if refused == nil || c.since.Before(refused.since) {
				refused = c
			}
		default:
			inUse++
			if c.phase != work && (victim == nil || c.phase < victim.phase || c.phase == victim.phase && c.since.Before(victim.since)) {
				victim = c
			}
		}
	}
	if inUse >= d.limit {
		d.recordRefusal(now, ReasonConnections)
		if victim == nil {
			return false
		}
	}
	if ending > d.limit/refusalDivisor {
		if refused == nil {
			return false
		}
		refused.interrupt(now)
	}
	if inUse >= d.limit {
		victim.interrupt(now)
	}
	return true
}
