package dotterdaemon

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Bounds of the HTTP servers.
const (
	headerTimeout  = 5 * dotterclock.Second
	idleTimeout    = 60 * dotterclock.Second
	maxHeaderBytes = 64 << 10
)

// server is one HTTP server with its bound address.
type server struct {
	listener net.Listener
	http     *http.Server
}

// listen binds address for a server of handler, or returns ErrStart.
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

// serve answers until shutdown.
func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(ErrStart, err.Error())
}

// shutdown takes no new connections and waits for requests in progress until ctx ends.
func (s *server) shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Join(eris.Wrap(ErrShutdown, err.Error()), s.http.Close())
	}
	return nil
}
