// Package dottershardlog reads and writes a shard's log in the store.
//
// Segment n is the value of ring key n modulo the ring's size. It is written by
// compare-and-swap against the version that the writer last read or wrote
// there. Opening a log reads the ring, builds the ledger, and claims the log by
// writing the next segment with a raised epoch; from then on a write of any
// other writer fails, because its version is no longer there. That failure is
// the fence: no clock and no lease takes part. Keys are overwritten and never
// deleted, so an absent key means that no segment was ever written there.
//
// A write whose answer was lost is resolved by reading the key back and
// comparing writer and batch. Until it is resolved only the very same segment
// is written again, since the first write may still arrive.
//
// Before a segment is overwritten, what it alone states in full is restated:
// each write carries forward a bounded part of the oldest segments.
package dottershardlog
