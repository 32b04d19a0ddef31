// Package dotterfailure holds the tests that break things around real daemons.
//
// Each test runs a cluster of processes, brings a failure about while callers
// send requests or tasks, and judges the promises by what the stand-in's
// backend servers and workers saw. Nothing is judged by what a daemon logged
// or counted. Waits are for conditions, with generous bounds; spans are only
// checked where the promise itself names one.
package dotterfailure
