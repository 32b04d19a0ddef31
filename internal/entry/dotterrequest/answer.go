package dotterrequest

import (
	"io"
	"net/http"

	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// Answer is the answer to a Request. Its body is Start followed by Rest.
type Answer struct {
	Outcome dotteroutcome.Outcome
	Status  int
	Header  http.Header
	Start   []byte        // the part received so far; the whole body when Rest is nil
	Rest    io.ReadCloser // the part that is still being streamed, or nil
	Length  int64         // of the whole body in bytes, or -1 if unknown
	Target  string        // name of the host that answered
}

// Complete reports whether the whole body has been received.
func (a Answer) Complete() bool {
	return a.Rest == nil
}

// Close closes Rest, discarding what has not been read of it.
func (a Answer) Close() {
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
}
