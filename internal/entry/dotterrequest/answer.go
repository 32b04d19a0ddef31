package dotterrequest

import (
	"io"
	"net/http"

	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// Answer is an answer to a Request.
type Answer struct {
	Outcome dotteroutcome.Outcome
	Status  int
	Header  http.Header
	Start   []byte        // the whole body when Rest is nil
	Rest    io.ReadCloser // what follows Start
	Length  int64         // of the whole body in bytes, or -1
	Target  string        // the host that answered
}

// Complete reports whether the body has been received to its end.
func (a Answer) Complete() bool {
	return a.Rest == nil
}

// Close gives up what has not been read.
func (a Answer) Close() {
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
}
