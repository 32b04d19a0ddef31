// Package dotterowner runs one shard of tasks.
//
// An Owner holds the shard's log. One goroutine, the loop, owns all state;
// store writes and worker calls run beside it and post their results back, so
// nothing here is locked. The loop never waits.
//
// A change is proposed as a log record. Records gather in a batch; one batch at
// a time is written, at most one per commit interval, and only what is in the
// log is applied to the ledger. A task with a record that isn't in the log yet
// is busy: nothing else is proposed for it. Effects that depend on a record,
// an answer to a caller, a start, an acknowledgement of an end, happen after
// its commit.
//
// An attempt goes through phases that only the owner's memory holds:
//
//	Logging -> Ready or Ahead -> Sending -> Running -> Ended
//	                               |  ^
//	                               v  |
//	                             Uncertain
//
// Ready attempts hold room and are sent at once. Ahead attempts are a reserve:
// they are in the log but hold no room, and become Ready when their worker has
// room; that is how starts go on while the store is away. An attempt whose
// start got no answer is Uncertain and holds room until the worker says
// whether it has it. After a takeover every logged attempt is Uncertain.
//
// A new attempt is logged only when the one before is known to have ended: its
// worker said so; or the worker, at the raised epoch, doesn't have it and can't
// start it any more; or no lease that this owner granted can be live; or the
// worker has left the host list for longer than the list lags and its leases
// last.
package dotterowner
