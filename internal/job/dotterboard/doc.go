// Package dotterboard holds the state of a shard (its jobs, their tasks, its workers and
// the task placement) and makes all scheduling decisions on it.
//
// A Board calls no worker, store or other host. The owner of the shard passes in jobs,
// cancellations, workers and listings, and takes out Batches to store and Orders to send.
// Four invariants always hold:
//
//   - A start order is issued only after the binding of that run to that worker is
//     stored, so a successor knows every worker on which a task may run.
//   - A task is bound to at most one worker and stays bound until the run has ended,
//     can no longer start, or its lease has certainly expired.
//   - The end of a run is acknowledged only after its effects are stored.
//   - A final state is visible to callers only after it is stored.
//
// A Board belongs to one owner. A successor builds its own Board from the store and from
// the workers' listings.
package dotterboard
