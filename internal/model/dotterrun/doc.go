// Package dotterrun describes what a shard's owner and a worker say about runs.
//
// A run is one start of a task; its number rises with each start of that task. A
// worker does what it is told by the owner with the highest epoch that it has
// seen. Everything on it runs under one lease on the worker's own clock, which the
// owner renews by asking for a Listing. An end stays in the listing until the
// owner acknowledges it by its number. A worker that restarts is a new life: it
// runs nothing, and its clock and its numbers start again.
package dotterrun
