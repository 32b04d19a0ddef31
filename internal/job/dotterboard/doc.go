// Package dotterboard is the state of a shard and every decision on it: its jobs,
// their tasks, its workers and what runs where.
//
// A Board talks to nobody. Its owner feeds it with jobs, cancellations, workers
// and listings, and takes from it Batches to store and Orders to send. Four
// invariants hold at every moment:
//
//   - A start is ordered only after the store has the binding of that run to that
//     worker, so a successor knows every worker on which a task may run.
//   - A task is bound to one worker at a time and stays bound until the run is
//     known to have ended, can never begin, or has surely lost its lease.
//   - An end is acknowledged only after the store has what followed from it.
//   - A final state is shown only after the store has it.
//
// The board is the owner's alone; a successor restores its own from the store and
// from the workers' listings.
package dotterboard
