package dotterharness

import (
	"net/http"

	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// Answer is the response that a caller received to one service request.
type Answer struct {
	Request string
	Host    string                // entry host that the request was sent to
	Outcome dotteroutcome.Outcome // empty if no response with an outcome header arrived
	Status  int
	Header  http.Header
	Body    string
	Err     error
}

// IsEchoOf reports whether a is the complete response of a stand-in backend
// server to its request with the given body.
func (a Answer) IsEchoOf(body string) bool {
	return a.Err == nil && a.Body == a.Request+"\n"+body
}
