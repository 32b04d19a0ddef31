// Package dotterledger holds the state that a shard's log describes.
//
// A Ledger is built by applying the log's records in order and in no other
// way: what an owner holds in memory after a commit equals what a later owner
// reads. It does no input or output and knows no clock.
//
// The log is a ring, so a Ledger also knows which segment states each entry
// last in full. Entries stated in the oldest segments are carried forward
// before those segments are overwritten; a snapshot is thus spread over the
// ordinary commits and costs one statement of each entry per lap. Writing
// whole snapshots was ruled out: they come in bursts above a value's size.
//
// Ended tasks stay readable within a bounded window, the latest EndedLimit by
// time of end. The order doesn't depend on how records were carried, so every
// reader of the log keeps the same ones.
package dotterledger
