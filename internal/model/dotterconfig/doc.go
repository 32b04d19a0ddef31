// Package dotterconfig describes the operators' configuration.
//
// The configuration is one Document under one key of the platform's store. It
// changes by compare-and-swap, and its Revision rises by one with each change.
// A process takes a Document only when its revision is higher than that of the
// one it has, so that no process ever goes back.
//
// Partners agree a split of the pool; each team belongs to a partner; each
// template belongs to a team and describes one kind of work, latency-critical
// services and batch tasks alike.
package dotterconfig
