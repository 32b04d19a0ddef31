// Package dotterattribution attributes task failures to workers or to task templates.
//
// Attributing every failure to the worker quarantines healthy workers when a
// template fails everywhere. Attributing every failure to the task lets a worker
// that fails everything drain the queue, because it always has the most free
// capacity. Each failure is therefore weighted by a likelihood ratio: the
// probability of the failure on a faulty worker over its probability on a
// healthy one, where the latter is the failure rate of the template on other
// workers. A worker's log odds of being faulty are the sum of the log ratios of
// its recent failures; each success discards the older half of them. The sum is
// recomputed whenever it is needed, so a worker is cleared as soon as the
// template turns out to fail elsewhere too.
//
// A worker whose log odds reach the threshold is quarantined. When the
// quarantine time has passed, the worker is probed with one task at a time: a
// success ends the quarantine, a failure doubles its duration. A start is
// unconfirmed until the attempt has shown progress. The number of unconfirmed
// starts on a worker is limited, and the limit drops with each recent failure.
// This bounds the tasks lost to a worker that becomes faulty, however fast it
// fails them.
//
// A task ends when it has failed MaxAttempts times on workers that are not
// quarantined, or twice as many times on any workers.
package dotterattribution
