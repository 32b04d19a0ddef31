// Package dotterstandworker simulates the platform's workers.
//
// A Worker follows the protocol of dotterattempt on its own clock, which has an
// offset from the platform's clock. A timer advances the attempts. Each attempt
// needs a certain amount of work and progresses more slowly while it is
// throttled, while the actual processor usage exceeds the worker's capacity, or
// next to other attempts according to a table of template pairs that the system
// under test does not see. Usage is sampled and reported with a lag.
//
// A Worker remembers the attempts that have ended even after their end was
// acknowledged, so that a start that is delivered again does not run again. A
// restart discards all state, including the epochs.
//
// The payload of a task can describe its behaviour; see Behaviour.
package dotterstandworker
