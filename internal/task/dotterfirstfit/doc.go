// Package dotterfirstfit is the simplest Placer: each queued task, in order of
// rank and submission, goes to the first worker that has room for it. It
// learns nothing and evicts nothing.
package dotterfirstfit
