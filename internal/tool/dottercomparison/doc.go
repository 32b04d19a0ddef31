// Package dottercomparison compares routing policies under the same load.
//
// Each Case runs the daemon's own exchanger, queue and retry budget in this process
// over simulated backend servers, so that only the policy differs. Arrival and
// service times are drawn from the same seeds for every policy.
package dottercomparison
