// Package dottermemory implements the platform's key-value store in memory.
//
// The stand-in platform serves a Store over HTTP, and unit tests use one directly.
// Writes to a Store are totally ordered by its revision. The version of a key is the
// revision at which it was written, so a version is never reused for a key, even
// after a deletion. Leases expire by the Clock passed to New, even during an outage.
//
// Faults can be injected into a running Store: an outage, lost answers of writes that
// took effect, reads from an old snapshot, and watches that report no changes.
package dottermemory
