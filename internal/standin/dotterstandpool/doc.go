// Package dotterstandpool implements an in-memory pool of workers for tests.
//
// A Worker follows the protocol of the platform's workers: it remembers the highest
// epoch, holds one lease for all its runs, lists each end until it is acknowledged,
// and refuses a run whose number is not higher than one that was stopped or has ended
// there. Tests can make it unreachable, restart it, lose its answers and delay orders.
//
// The pool records starts and ends. Violations returns the violated guarantees: two
// concurrent runs of a task, a start after the end of a finished task was
// acknowledged, a worker over its capacity or without the required label, a task
// started before its dependencies were done, a start that belongs to no known job.
package dotterstandpool
