package dotterdaemon

import "github.com/rotisserie/eris"

// Errors of a Daemon.
var (
	// ErrStart means that a part could not be built or an address not be bound.
	ErrStart = eris.New("daemon: can't start")
	// ErrShutdown means that a graceful shutdown was not finished in time.
	ErrShutdown = eris.New("daemon: the shutdown was not finished in time")
)
