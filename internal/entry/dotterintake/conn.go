package dotterintake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// errNotTCP means that a door was given a listener of another kind.
var errNotTCP = eris.New("intake: not a TCP connection")

const (
	// lingerTime is how long the rest of a refused request is discarded, so that the caller
	// receives the refusal before its connection is reset.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds what is discarded.
	lingerBytes = 256 << 10
	// leavingTime is the longest time for a header, and for a body, once the process shuts down.
	leavingTime = dotterclock.Second
	// refuseTime bounds the writing of a refusal to a connection that is closed.
	refuseTime = 50 * time.Millisecond
)

// refusal is the answer on a connection that is closed before its request has been read. Nothing
// of the request has been handled.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// conn is a connection of a caller.
type conn struct {
	*net.TCPConn
	door          *Door
	writeDeadline time.Time // set by the server; only the goroutine that writes uses it

	// Guarded by Intake.mu:
	phase       phase
	since       time.Time // when the phase began
	held        int64     // memory charged, bytes
	interrupted bool      // its request is refused in favour of others
}

// enter begins a phase. The caller must hold Intake.mu.
func (c *conn) enter(p phase, now time.Time) {
	c.phase, c.since = p, now
}

// interruptible reports whether the connection may be closed, or its request refused. The caller must hold Intake.mu.
func (c *conn) interruptible() bool {
	return c.phase != work && !c.interrupted
}

// interrupt refuses the request that is being received, or closes the connection if there is none.
// The caller must hold Intake.mu.
func (c *conn) interrupt(now time.Time) {
	c.interrupted = true
	c.door.charge(c, 0)
	switch c.phase {
	case body: // its handler answers
		_ = c.TCPConn.SetReadDeadline(now)
	case header: // the server notices that it is closed, and closes it too
		go func() { _ = refuse(c.TCPConn) }()
	default:
		_ = c.TCPConn.Close() // nothing is owed to the caller
		delete(c.door.conns, c)
	}
}

// refuse answers that nothing was done, and closes the connection.
func refuse(c *net.TCPConn) error {
	_ = c.SetWriteDeadline(time.Now().Add(refuseTime))
	_, err := c.Write([]byte(refusal))
	return errors.Join(err, c.Close())
}

// Read implements net.Conn. It charges what arrives.
func (c *conn) Read(p []byte) (int, error) {
	i := c.door.Intake
	n, err := c.TCPConn.Read(p)
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	if c.phase == idle && n > 0 {
		c.enter(header, now)
	}
	if !c.interrupted && c.phase != lingering && n > 0 {
		i.charge(c, c.held+int64(n)*i.limits.PerByte)
		i.enforceBudget(now)
	}
	return n, err
}

// Write implements net.Conn. Unless the server has set a deadline, it fails when the caller accepts
// nothing for Limits.AnswerTime.
func (c *conn) Write(p []byte) (int, error) {
	if c.writeDeadline.IsZero() {
		if err := c.TCPConn.SetWriteDeadline(time.Now().Add(c.door.limits.AnswerTime.Duration())); err != nil {
			return 0, err
		}
	}
	return c.TCPConn.Write(p)
}

// SetReadDeadline implements net.Conn. A process that shuts down does not wait long for a header.
func (c *conn) SetReadDeadline(t time.Time) error {
	i := c.door.Intake
	i.mu.Lock()
	defer i.mu.Unlock()
	if limit := time.Now().Add(leavingTime.Duration()); i.leaving && c.phase == header && (t.IsZero() || t.After(limit)) {
		t = limit
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline = t
	return c.TCPConn.SetWriteDeadline(t)
}

// Close implements net.Conn. It gives a caller that is still sending time to read its answer.
func (c *conn) Close() error {
	i := c.door.Intake
	i.mu.Lock()
	i.charge(c, 0)
	_, open := c.door.conns[c]
	linger := open && c.phase == lingering && !i.leaving
	i.mu.Unlock()
	if linger {
		_ = c.CloseWrite()
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	}
	i.mu.Lock()
	delete(c.door.conns, c)
	i.mu.Unlock()
	return c.TCPConn.Close()
}

// begin begins the handling of a request. It returns false if the connection was closed meanwhile.
func (c *conn) begin(hasBody bool) bool {
	i := c.door.Intake
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.interrupted {
		return false
	}
	now := time.Now()
	if !hasBody {
		c.enter(work, now)
		return true
	}
	c.enter(body, now)
	_ = c.TCPConn.SetReadDeadline(c.bodyDeadline(now, 0))
	return true
}

// bodyDeadline returns when a body must have arrived; wait is how long its caller waits, 0 if that is not known.
func (c *conn) bodyDeadline(now time.Time, wait dotterclock.Millis) time.Time {
	longest := c.door.limits.BodyTime
	if wait > 0 {
		longest = min(longest, wait)
	}
	if c.door.leaving {
		longest = min(longest, leavingTime)
	}
	return now.Add(longest.Duration())
}

// finish ends the handling of a request. If its body has not been read, the answer is sent and a
// little more of the body is discarded, so that the connection can be used for another request. The
// answer must have a Content-Length then, since the connection may be closed.
func (c *conn) finish(w http.ResponseWriter, r *http.Request) {
	if !c.leaveUnread(time.Now()) {
		return
	}
	err := http.NewResponseController(w).Flush()
	if err == nil {
		_, err = io.CopyN(io.Discard, r.Body, lingerBytes)
	}
	if !errors.Is(err, io.EOF) {
		panic(http.ErrAbortHandler) // what follows may be the rest of the body
	}
	i := c.door.Intake
	i.mu.Lock()
	defer i.mu.Unlock()
	c.enter(work, time.Now())
	_ = c.TCPConn.SetReadDeadline(time.Time{})
}

// leaveUnread begins to discard the body of an answered request, or returns false if it has been read.
func (c *conn) leaveUnread(now time.Time) bool {
	i := c.door.Intake
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.phase != body {
		return false
	}
	i.charge(c, 0)
	c.enter(lingering, now)
	if !c.interrupted {
		_ = c.TCPConn.SetReadDeadline(now.Add(lingerTime))
	}
	c.interrupted = false // from now on the connection can be closed
	return true
}

// await sets the deadline of the body, or returns false if the request is refused.
func (c *conn) await(wait dotterclock.Millis) bool {
	i := c.door.Intake
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.interrupted {
		return false
	}
	_ = c.TCPConn.SetReadDeadline(c.bodyDeadline(time.Now(), wait))
	return true
}

// arrived ends the receipt of a body, or returns false if the request is refused.
func (c *conn) arrived() bool {
	i := c.door.Intake
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.interrupted {
		return false
	}
	c.enter(work, time.Now())
	// A deadline that passes while the request is handled would cancel its context.
	_ = c.TCPConn.SetReadDeadline(time.Time{})
	return true
}

// isInterrupted reports whether the request is refused in favour of others.
func (c *conn) isInterrupted() bool {
	if c == nil {
		return false
	}
	i := c.door.Intake
	i.mu.Lock()
	defer i.mu.Unlock()
	return c.interrupted
}

// connOf returns the connection of a request, or nil if it did not come through a door.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
