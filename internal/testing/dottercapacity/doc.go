// Package dottercapacity measures what one entry host spends as the pool grows.
//
// Its benchmarks run real daemons against the stand-in platform at three or
// more sizes each and report, per entry host: processor time, resident memory,
// bytes to and from peers, and store calls. `make capacity` runs them; the
// slopes are worked out in docs/CAPACITY.md. Each case runs once for a fixed
// time, so b.N is left alone.
package dottercapacity
