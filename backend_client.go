package dotterelusher

import (
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// Errors of a BackendClient.
var (
	// ErrBackendNotSent means that no byte of the request can have reached the server.
	ErrBackendNotSent = eris.New("backend server: the request was not sent")
	// ErrBackendIndeterminate means that the request may have run.
	ErrBackendIndeterminate = eris.New("backend server: no whole answer, the request may have run")
)

// BackendClient sends requests to backend servers, each exactly once.
type BackendClient interface {
	// Send sends request to server over a connection that it owns alone until
	// the answer's body is closed. It never sends a request twice by itself.
	Send(server dotterhost.Host, request *http.Request) (*http.Response, error)
}
