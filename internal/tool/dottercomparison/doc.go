// Package dottercomparison measures routing policies side by side.
//
// Each Case runs the daemon's own exchanger, queue and budget in this process
// over backend servers that only wait, so that the policy is all that differs.
// Arrivals and service times follow from the same seeds for every policy.
package dottercomparison
