// Package dottermemory keeps the platform's key-value store in memory.
//
// The stand-in platform serves a Store over HTTP and unit tests use one
// directly. Writes of one Store are totally ordered by its revision, and the
// version of a key is the revision at which it was written, so a version is
// never used twice for a key, also after a deletion. Leases lapse on the Clock
// that the Store was given, also while the Store is down.
//
// Faults are switched on a running Store: it can be down, lose the answers of
// writes that took effect, serve reads from an old snapshot, and keep watches
// silent.
package dottermemory
