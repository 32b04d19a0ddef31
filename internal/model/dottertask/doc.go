// Package dottertask describes a unit of batch or latency-critical work that
// runs on a worker.
//
// A Task is accepted once and ends exactly once, in one of the final states.
// Between the two it goes through attempts. An attempt names its worker before
// it may start, and a further attempt exists only when the one before is known
// to have ended. Work that is not repeatable is started at most once; when the
// end of its attempt can't be known it ends as OutcomeUnknown.
package dottertask
