// Package dotterdispatch sends the shard owner's calls to the workers.
//
// Each worker has a session. Its renewal loop renews the worker's lease and passes
// the returned listings to the board; the worker answers as soon as a run has ended.
// Its order loops send the board's orders, each loop one order at a time. There are
// few of them because opening another connection costs more than waiting a
// millisecond for an order in progress.
package dotterdispatch
