// Package dotterlog builds the daemon's logger.
//
// Lines are JSON on the standard error, written through a buffer that is
// flushed every second and at the end. A line that carries the field Target is
// a decision of the router or of the placement policy; the newest of them are
// also kept in memory, where `dotterelusher decisions` reads them.
package dotterlog
