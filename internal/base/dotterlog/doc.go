// Package dotterlog builds the loggers of the daemons.
//
// New returns a logger that writes JSON lines to standard error through a buffer,
// which is flushed every second and at shutdown. Lines with the field Target are
// decisions of the router or of the placement policy. The latest of them are also
// kept in memory, where `dotterelusher decisions` reads them.
//
// The job scheduler logs to standard output with NewBounded, which drops lines
// instead of exceeding its rate limits or blocking on the output.
package dotterlog
