// Package dotterledger holds the state of a shard as described by its log.
//
// A Ledger changes only by applying the log's records in order, so an owner's
// state after a commit equals the state that a later owner reads from the log.
// The package performs no I/O and reads no clock.
//
// The log is a ring of segments. A Ledger records which segment holds the latest
// full record of each entry and total; that record is live. The live records of
// the oldest segments are written again before those segments are overwritten.
// This spreads a snapshot over the ordinary commits, at a cost of one full record
// of each entry per pass over the ring. Whole snapshots are not used because they
// come in bursts that exceed the maximum size of a store value.
//
// Ended tasks stay readable up to a limit, by default EndedLimit; the ones with
// the latest end times are kept. Their order does not depend on which records
// were written again, so every reader of the log keeps the same tasks.
package dotterledger
