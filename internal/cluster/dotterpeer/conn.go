package dotterpeer

import (
	"net"
	"time"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// writeTimeout is how long one write may take before its link is given up.
const writeTimeout = 5 * dotterclock.Second

// conn is a TCP connection whose bytes are counted and whose writes are bounded in time.
type conn struct {
	net.Conn
	metrics *Metrics
}

// Read implements io.Reader.
func (c conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.metrics.bytesReceived.Add(float64(n))
	return n, err
}

// Write implements io.Writer.
func (c conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.metrics.bytesSent.Add(float64(n))
	return n, err
}
