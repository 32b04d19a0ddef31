package dotterstandstore

import "net/http"

// countingWriter counts the bytes written to the answer's body.
type countingWriter struct {
	http.ResponseWriter
	bytes int64
}

// Write writes p and counts the bytes written.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.ResponseWriter.Write(p)
	c.bytes += int64(n)
	return n, err
}
