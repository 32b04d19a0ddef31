// Package dotterlog builds the daemon's logger.
//
// Lines are JSON on the standard error, written through a buffer that is
// flushed every second and at the end. A line that carries the field Target is
// a decision of the router or of the placement policy; the newest of them are
// also kept in memory, where `dotterelusher decisions` reads them.
//
// The scheduler of jobs writes to the standard output by NewBounded, which drops
// lines rather than exceed its budget or wait for a reader.
package dotterlog
