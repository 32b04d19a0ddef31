// Package dottertask defines tasks, the units of batch or latency-critical work that
// run on workers.
//
// A Task is accepted once and ends exactly once, in one of the final states.
// In between it is run in attempts. The worker of an attempt is recorded before the
// attempt may start, and the next attempt is created only after the previous one is
// known to have ended. Work that is not repeatable is started at most once. If it
// can't be known how its attempt ended, the task ends as OutcomeUnknown.
package dottertask
