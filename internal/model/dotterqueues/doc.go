// Package dotterqueues defines the operators' configuration of job queues: for each
// queue the service whose workers run its tasks, its priority and its limit on
// failed runs.
package dotterqueues
