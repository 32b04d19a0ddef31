package dotterexchange

import (
	"context"
	"errors"
	"io"

	"github.com/dotterelusher/dotterelusher/internal/entry/dotterservice"
)

// rest is the part of an answer's body that is streamed; its end gives the slot back.
type rest struct {
	body   io.ReadCloser
	grant  *dotterservice.Grant
	cancel context.CancelCauseFunc
	ended  bool
}

var _ io.ReadCloser = (*rest)(nil)

// Read reads from the body.
func (r *rest) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil {
		r.end(err)
	}
	return n, err
}

// Close gives up what has not been read.
func (r *rest) Close() error {
	err := r.body.Close()
	r.end(err)
	return err
}

func (r *rest) end(err error) {
	if r.ended {
		return
	}
	r.ended = true
	release(r.grant, err)
	r.cancel(nil)
}

// release gives the slot back at once after a whole answer, else when the
// server is done with the request. A forwarded request has no slot here.
func release(grant *dotterservice.Grant, err error) {
	if grant == nil {
		return
	}
	if err == nil || errors.Is(err, io.EOF) {
		grant.Release()
		return
	}
	grant.ReleaseAfter(endedOf(err))
}
