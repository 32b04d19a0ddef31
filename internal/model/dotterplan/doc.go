// Package dotterplan describes what a placement policy sees and what it
// decides.
//
// A State is a snapshot of one shard: its queue and its workers with what
// holds room on each. A Plan lists decisions in the order in which they are to
// be carried out. The shard's owner checks each one against the room again
// before it logs it, so that a faulty policy can waste work but never overfill
// a worker.
package dotterplan
