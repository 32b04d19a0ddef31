package dotterexchange

import (
	"context"
	"errors"
	"io"

	"github.com/dotterelusher/dotterelusher/internal/entry/dotterservice"
)

// streamedBody is the unbuffered rest of an answer's body. The slot is released
// when it ends or is closed.
type streamedBody struct {
	body   io.ReadCloser
	grant  *dotterservice.Grant
	cancel context.CancelCauseFunc
	ended  bool
}

var _ io.ReadCloser = (*streamedBody)(nil)

// Read reads from the body, releasing the slot at its end or on an error.
func (r *streamedBody) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil {
		r.end(err)
	}
	return n, err
}

// Close closes the body, discarding what has not been read, and releases the slot.
func (r *streamedBody) Close() error {
	err := r.body.Close()
	r.end(err)
	return err
}

func (r *streamedBody) end(err error) {
	if r.ended {
		return
	}
	r.ended = true
	release(r.grant, err)
	r.cancel(nil)
}

// release releases the slot at once after a complete answer, or else when it counts
// as free at the server. grant is nil for a forwarded request, which has no slot
// here.
func release(grant *dotterservice.Grant, err error) {
	if grant == nil {
		return
	}
	if err == nil || errors.Is(err, io.EOF) {
		grant.Release()
		return
	}
	grant.ReleaseAfter(slotFree(err))
}
