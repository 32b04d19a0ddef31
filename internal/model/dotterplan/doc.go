// Package dotterplan defines the input and the output of a placement policy.
//
// A State is a snapshot of one shard: its queue and its workers, with the attempts
// that hold resources on each. A Plan lists decisions in the order in which they
// are executed. The shard's owner checks each decision against the free resources
// again before it logs the decision, so a faulty policy can waste work but never
// overcommit a worker.
package dotterplan
