package dotterelusher

import (
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// Errors returned by a BackendClient.
var (
	// ErrBackendNotSent means that no byte of the request can have reached the server.
	ErrBackendNotSent = eris.New("backend server: the request was not sent")
	// ErrBackendIndeterminate means that no complete response arrived and that
	// the server may have run the request.
	ErrBackendIndeterminate = eris.New("backend server: no whole answer, the request may have run")
)

// BackendClient sends requests to backend servers, each at most once.
type BackendClient interface {
	// Send sends request to server on a connection that no other request uses
	// until the response body is closed. It never retries.
	Send(server dotterhost.Host, request *http.Request) (*http.Response, error)
}
