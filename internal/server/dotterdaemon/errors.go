package dotterdaemon

import "github.com/rotisserie/eris"

// Errors of a Daemon.
var (
	// ErrStart means that an address could not be bound or a server failed.
	ErrStart = eris.New("daemon: cannot serve")
	// ErrShutdown means that the graceful shutdown did not finish in time.
	ErrShutdown = eris.New("daemon: graceful shutdown did not finish in time")
)
