// Package dotterattempt describes what an owner and a worker say to each other.
//
// Every command carries the shard, the shard's epoch and the attempt number. A
// worker keeps the highest epoch that it has seen of each shard and refuses
// commands of a lower one; it refuses a start that arrives later than
// LatestStart on its own clock, or that is meant for another incarnation of it: a
// worker that has restarted remembers neither epochs nor what it ran. Start is idempotent by task and attempt. Every
// answer carries the worker's clock, from which the owner learns how to state
// LatestStart.
//
// A worker runs an attempt under a lease that the owner renews. When the lease
// lapses the worker stops the attempt by itself. The end of an attempt stays
// in the worker's report until the owner acknowledges it.
package dotterattempt
