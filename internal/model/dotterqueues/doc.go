// Package dotterqueues describes the operators' configuration of queues: which
// queue sends its tasks to which service's workers, in what order and how often.
package dotterqueues
