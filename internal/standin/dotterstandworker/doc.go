// Package dotterstandworker stands in for the platform's workers.
//
// A Worker keeps the promises of dotterattempt on a clock of its own that is
// off from everybody else's. Attempts run by a timer: each needs an amount of
// undisturbed work and gets on more slowly beside others, as a hidden table of
// pairs says, when it is throttled, or when the true use of processors is over
// the capacity. Usage is sampled and reported with a lag.
//
// A Worker remembers the attempts that it has ended, also after their end was
// acknowledged, so that a start that arrives again doesn't run again. A
// restart forgets everything, the epochs included.
//
// The payload of a task may say how it behaves; see Behaviour.
package dotterstandworker
