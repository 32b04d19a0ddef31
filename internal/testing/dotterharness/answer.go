package dotterharness

import (
	"net/http"

	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// Answer is what a caller got for one service request.
type Answer struct {
	Request string
	Host    string                // entry host that was asked
	Outcome dotteroutcome.Outcome // empty if the entry host gave no whole answer
	Status  int
	Header  http.Header
	Body    string
	Err     error
}

// Whole reports whether a is the whole answer to the request with the given body.
func (a Answer) Whole(body string) bool {
	return a.Err == nil && a.Body == a.Request+"\n"+body
}
