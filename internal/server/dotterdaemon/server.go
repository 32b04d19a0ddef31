package dotterdaemon

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Limits of the HTTP servers.
const (
	headerTimeout  = 5 * dotterclock.Second
	idleTimeout    = 60 * dotterclock.Second
	maxHeaderBytes = 64 << 10
)

// server is an HTTP server with its listener.
type server struct {
	listener net.Listener
	http     *http.Server
}

// listen binds address and returns a server for handler. It returns ErrStart if that fails.
func listen(address string, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(ErrStart, err.Error())
	}
	return &server{listener: listener, http: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
	}}, nil
}

// serve accepts connections until shutdown is called.
func (s *server) serve() error {
	err := s.http.Serve(s.listener)
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
