package dotterdaemon

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterintake"
)

// Limits of the HTTP servers.
const (
	headerTimeout  = 5 * dotterclock.Second
	idleTimeout    = 60 * dotterclock.Second
	maxHeaderBytes = 64 << 10
	maxOperators   = 64 // connections to the operators' API
)

// server is an HTTP server with its listener and its door.
type server struct {
	listener net.Listener
	door     *dotterintake.Door
	http     *http.Server
}

// listen binds address and returns a server for handler. It returns ErrStart if that fails.
func listen(address string, door *dotterintake.Door, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(ErrStart, err.Error())
	}
	return &server{listener: listener, door: door, http: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
	}}, nil
}

// serve accepts connections until shutdown is called.
func (s *server) serve() error {
	err := s.door.Serve(s.http, s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(ErrStart, err.Error())
}

// shutdown stops accepting connections and waits for requests in progress. If ctx ends
// first, it closes their connections and returns ErrShutdown.
func (s *server) shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Join(eris.Wrap(ErrShutdown, err.Error()), s.http.Close())
	}
	return nil
}
