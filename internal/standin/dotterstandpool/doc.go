// Package dotterstandpool is a pool of workers in memory, for tests.
//
// A Worker does what the platform's workers promise: it keeps the highest epoch, one
// lease for all that runs, ends until they are acknowledged, and refuses a run that
// is not higher than one that was stopped or has ended there. It can be dark, start
// a new life, lose answers, and carry orders out late.
//
// The pool keeps the truth: every start and end with its instant. Faults names what
// broke a promise: two runs of a task at once, a start after the task was done, a
// worker over its capacity, a step before the ones that it depends on.
package dotterstandpool
