// Package dotterrouter chooses the backend server of a request.
//
// PowerOfTwo compares two servers taken at random by their decayed latency and
// load, so that hosts that decide at the same time don't all choose the same
// one. It leaves out a server that fails or that is much slower than the others
// and lets single requests through to see whether it has recovered. When only
// such servers have a free slot, a request waits if another slot is expected
// sooner than the slow answer.
//
// RoundRobin and Random look at nothing; they are there to be compared with.
package dotterrouter
