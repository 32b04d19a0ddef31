// Package dotterrecord defines the records of a shard's log and their encoding.
//
// The log is a sequence of numbered segments; a segment holds the records of
// one group commit. A full record (Accepted, Kept, Total) holds a complete entry
// or total; a change record (Reserved, Ended, Cancelled, Offered, Moved) changes
// an existing entry. When a log is read, changes of unknown entries are ignored,
// because a full record of the entry follows.
package dotterrecord
