// Package dotterdispatch talks to a shard's workers for its owner.
//
// Each worker has a session of two loops. One renews the worker's lease over and
// over and feeds the listings to the board; the worker answers as soon as a run has
// ended. The other gives it the board's orders, one after the other, over one
// connection: opening connections costs more than waiting a millisecond.
package dotterdispatch
