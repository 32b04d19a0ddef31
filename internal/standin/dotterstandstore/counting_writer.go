package dotterstandstore

import "net/http"

// countingWriter counts the bytes of an answer's body.
type countingWriter struct {
	http.ResponseWriter
	bytes int64
}

// Write sends p and counts it.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.ResponseWriter.Write(p)
	c.bytes += int64(n)
	return n, err
}
