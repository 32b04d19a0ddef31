// Package dotterroom defines an amount of a worker's resources.
//
// A Room is the capacity of a worker, the declared or learned size of a task, or the
// remaining capacity. It is a vector: one Room fits into another only if every
// component fits. The components are integers, so that sums over a worker's attempts
// are exact and accumulate no rounding error.
package dotterroom
