package dotterowner

import "github.com/rotisserie/eris"

// Errors of an Owner.
var (
	// ErrDeposed means that another entry host owns the shard now.
	ErrDeposed = eris.New("owner: deposed")
	// ErrRefused means that nothing was accepted.
	ErrRefused = eris.New("owner: refused, nothing was accepted")
	// ErrUnknown means that the call may have taken effect.
	ErrUnknown = eris.New("owner: no answer yet, the call may have taken effect")
	// ErrNotFound means that the shard doesn't know the task.
	ErrNotFound = eris.New("owner: no such task")
	// ErrInvalid means that the submission can never be accepted as it is.
	ErrInvalid = eris.New("owner: invalid submission")
)
