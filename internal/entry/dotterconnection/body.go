package dotterconnection

import (
	"errors"
	"io"
	"net/http"
)

// body is the body of an answer. It returns the connection to the pool at its end.
type body struct {
	exchange *exchange
	inner    io.ReadCloser
	ended    bool
	lost     *LostError
}

var _ io.ReadCloser = (*body)(nil)

// Read reads from the body. It returns a LostError if the body ends early.
func (b *body) Read(p []byte) (int, error) {
	if b.lost != nil {
		return 0, b.lost
	}
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.inner.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.ended = true
		b.exchange.succeed()
		return n, io.EOF
	}
	b.lost = b.exchange.fail(err, b.inner)
	return n, b.lost
}

// Close ends the exchange. It returns a LostError if the body was not read to its end.
func (b *body) Close() error {
	if b.ended || b.lost != nil {
		return nil
	}
	if b.inner == http.NoBody {
		b.ended = true
		b.exchange.succeed()
		return nil
	}
	b.lost = b.exchange.fail(errClosedEarly, b.inner)
	return b.lost
}
