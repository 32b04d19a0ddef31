// Package dotterattempt defines the messages between a shard's owner and a worker.
//
// Every command carries the shard, the shard's epoch and the attempt number. A
// worker keeps the highest epoch it has seen for each shard and refuses commands
// with a lower one. It refuses a start that arrives after LatestStart on its own
// clock, or that names another incarnation of it, because a restarted worker has
// lost both the epochs and the list of attempts it ran. Start is idempotent for the
// same task and attempt. Every answer carries the worker's clock, from which the
// owner computes LatestStart.
//
// A worker runs an attempt under a lease that the owner renews. When the lease
// expires, the worker stops the attempt by itself. An ended attempt stays in the
// worker's report until the owner acknowledges it.
package dotterattempt
