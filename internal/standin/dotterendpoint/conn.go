package dotterendpoint

import (
	"net"
	"sync/atomic"
)

// conn is an accepted connection that can be silenced permanently.
type conn struct {
	net.Conn
	silent atomic.Bool
}

// Read reads from the client. On a silent connection it discards what arrives
// and returns only when the client closes the connection or the read fails.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write sends p. On a silent connection it discards p and reports success.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
