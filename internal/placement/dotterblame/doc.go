// Package dotterblame decides whether failures are the worker's fault or the
// task's.
//
// Blaming the worker alone quarantines good workers when a template fails
// everywhere; blaming the task alone lets a worker that fails everything eat
// the queue, since it is always the emptiest. So each failure is weighed by a
// likelihood ratio: how much more probable it is on a worker that fails
// everything than on a good one, where the latter is how often the template
// fails on other workers. The suspicion of a worker is the sum of the
// logarithms over its failures since it last did well; it is worked out anew
// whenever it is needed, so that a worker is cleared as soon as the template
// turns out to fail elsewhere too.
//
// A worker whose suspicion passes the bound is quarantined. After a while one
// task at a time probes it; a success ends the quarantine, a failure doubles
// it. Until a start has shown progress it is unconfirmed, and a worker is given
// only few unconfirmed starts less its late failures: that bounds what is lost
// to a worker that turns bad, however fast it fails.
//
// A task ends when it has failed MaxAttempts times on workers that are not
// quarantined; failures on quarantined ones count only up to as many again.
package dotterblame
