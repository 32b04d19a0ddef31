package dottershardlog

import "github.com/rotisserie/eris"

// Errors of a Log.
var (
	// ErrDeposed means that another writer has claimed the log.
	ErrDeposed = eris.New("shard log: another owner has claimed it")
	// ErrUnavailable means that this call wrote nothing.
	ErrUnavailable = eris.New("shard log: store unavailable, nothing was written")
	// ErrIndeterminate means that the segment may have been written. Only the same
	// segment may be written next.
	ErrIndeterminate = eris.New("shard log: no answer, the segment may have been written")
	// ErrUnreadable means that the values in the store are not a valid log.
	ErrUnreadable = eris.New("shard log: stored segments are not a valid log")
)
