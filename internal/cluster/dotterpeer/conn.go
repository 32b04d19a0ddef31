package dotterpeer

import (
	"net"
	"time"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// writeTimeout bounds one write to a link; a write that takes longer fails.
const writeTimeout = 5 * dotterclock.Second

// conn is a TCP connection that counts the bytes it transfers and sets a deadline
// on each write.
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
