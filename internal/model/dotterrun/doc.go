// Package dotterrun defines the messages about runs between a shard's owner and a
// worker.
//
// A run is one start of a task; its number increases with each start of that task.
// A worker obeys only the owner with the highest epoch that it has seen. All runs on
// a worker share one lease on the worker's own clock, which the owner renews when it
// requests a Listing. An ended run stays in the listing until the owner acknowledges
// the number of its End. A restarted worker is a new incarnation: it has no runs,
// and its clock and its end numbers start again.
package dotterrun
