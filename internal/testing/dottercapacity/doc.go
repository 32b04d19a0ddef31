// Package dottercapacity measures how the resource usage of an entry host grows
// with the size of the pool.
//
// Its benchmarks run real daemons against the stand-in platform at three or
// more sizes each and report CPU time, resident memory and peer traffic per
// entry host, and the rate of store calls. `make capacity` runs them;
// docs/CAPACITY.md derives the slopes. Each case runs once for a fixed time, so
// the benchmarks ignore b.N.
package dottercapacity
