package dotterowner

import "github.com/rotisserie/eris"

// Errors of an Owner.
var (
	// ErrDeposed means that another entry host has taken over the shard.
	ErrDeposed = eris.New("owner: deposed")
	// ErrRefused means that the call had no effect.
	ErrRefused = eris.New("owner: refused, nothing was accepted")
	// ErrUnknown means that the call may have taken effect.
	ErrUnknown = eris.New("owner: no answer yet, the call may have taken effect")
	// ErrNotFound means that the shard has no record of the task.
	ErrNotFound = eris.New("owner: no such task")
	// ErrInvalid means that the request can never be accepted as it is.
	ErrInvalid = eris.New("owner: invalid submission")
)
