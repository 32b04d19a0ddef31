// Package dotterstandlist implements the stand-in's host list, which publishes
// changes with a configurable lag.
//
// Find returns the current state of a host; Hosts returns the list as it was one
// lag ago.
package dotterstandlist
