// Package dotterowner queues the tasks of one shard and runs them on workers.
//
// An Owner is the only writer of the shard's log. A single goroutine, the event
// loop, owns all state, so the package needs no locks. The loop never blocks:
// store writes and worker calls run in goroutines of their own, which post their
// results to the loop.
//
// Every change of state is proposed as log records. Proposed changes are
// collected into batches. At most one batch is written at a time and at most one
// per commit interval, and a record is applied to the ledger only after it is
// committed to the log. While a task has an uncommitted record it is busy, and
// nothing else is proposed for it. Effects that depend on a record, such as an
// answer to a caller, a start, or the acknowledgement of an end, follow its commit.
//
// The phase of an attempt is held in memory only:
//
//	Logging -> Ready or Preassigned -> Sending -> Running -> Ended
//	                                     |  ^
//	                                     v  |
//	                                   Uncertain
//
// A Ready attempt holds capacity on its worker and is sent next. A Preassigned
// attempt is in the log but holds no capacity; it becomes Ready when its worker
// has enough free. Preassigned attempts allow starts to continue while the store
// is unavailable. An attempt whose start got no answer is Uncertain and holds
// capacity until the worker reports whether it has the attempt. After a takeover
// every logged attempt is Uncertain.
//
// A new attempt of a task is logged only once the previous one is known to have
// ended, that is, if one of the following holds:
//   - its worker reported the end;
//   - the worker, at the raised epoch, doesn't have the attempt and can no longer
//     start it;
//   - every lease that this owner granted to the worker has expired;
//   - the worker has been off the host list for longer than the list's maximum
//     lag plus the duration of its leases.
package dotterowner
