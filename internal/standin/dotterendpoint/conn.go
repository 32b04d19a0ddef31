package dotterendpoint

import (
	"net"
	"sync/atomic"
)

// conn is an accepted connection that can go silent for good.
type conn struct {
	net.Conn
	silent atomic.Bool
}

// Read returns the client's bytes; on a silent connection it discards them
// until the client closes it.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write sends p; on a silent connection p is lost.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
