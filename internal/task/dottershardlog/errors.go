package dottershardlog

import "github.com/rotisserie/eris"

// Errors of a Log.
var (
	// ErrDeposed means that another writer has claimed the log.
	ErrDeposed = eris.New("shard log: another owner has claimed it")
	// ErrUnavailable means that the segment was not written.
	ErrUnavailable = eris.New("shard log: store unavailable, nothing was written")
	// ErrIndeterminate means that the segment may have been written; only the same
	// segment may be written next.
	ErrIndeterminate = eris.New("shard log: no answer, the segment may have been written")
	// ErrUnreadable means that the ring in the store can't be read as a log.
	ErrUnreadable = eris.New("shard log: the ring can't be read")
)
