// Package dotterroom describes an amount of a worker's resources.
//
// A Room is a capacity, a declared or learned size, or what is left. It is a
// vector: one Room fits into another only when every component does. All
// arithmetic is exact on integers, so sums over a worker's attempts never
// drift from what its capacity was compared with.
package dotterroom
