// Package dottershardlog reads and writes a shard's log in the store.
//
// The log is a ring of keys: segment n is stored under key n modulo the ring's
// size. It is written by compare-and-swap against the version that the writer last
// read or wrote there. Opening a log reads the ring, builds the ledger, and claims
// the log by writing the next segment with a higher epoch. From then on the writes
// of every other writer fail, because the version that they expect has been
// replaced. Fencing depends on this failure alone, not on clocks or leases. Keys
// are overwritten and never deleted, so an absent key means that no segment was
// ever written there.
//
// A write whose answer was lost is resolved by reading the key back and comparing
// writer and batch. Until it is resolved, only the same segment is written again,
// because the first write may still arrive.
//
// Before a segment is overwritten, its live records are written again: each
// segment includes a bounded part of the live records of the oldest segments.
package dottershardlog
