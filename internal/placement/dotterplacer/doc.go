// Package dotterplacer decides which task of a shard runs on which worker.
//
// A Placer implements dotterelusher.Placer. Each Plan is one round over a
// snapshot of the shard, in this order: tasks that can't be tried any more are
// ended, disturbed latency-critical tasks are helped, queued tasks are placed.
//
// Queued tasks go by rank, urgency, fair share and age. Each goes to the usable
// worker with the lowest cost that has room for it.
package dotterplacer
