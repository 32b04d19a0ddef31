// Package dotterrecord defines what a shard's log says.
//
// The log is a sequence of numbered segments; a segment holds the records of
// one group commit. A record either states an entry in full (Accepted, Kept,
// Total) or changes an entry that was stated before (Reserved, Ended,
// Cancelled, Offered, Moved). Changes of entries that are not known are
// ignored when a log is read, because the entry is stated in full further on.
package dotterrecord
