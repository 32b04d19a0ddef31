// Package dotterrouter implements load balancing policies that choose the backend
// server of a request.
//
// PowerOfTwo samples two servers at random and chooses the one with the lower
// cost, computed from a moving average of its latency and its load. Sampling
// keeps entry hosts that route at the same time from all choosing the same
// server. A server that fails or is much slower than the others is ejected, and
// single probe requests then test whether it has recovered. When only ejected
// servers have a free slot, a request waits if it is expected to get another
// slot and its response sooner than an ejected server would respond.
//
// RoundRobin and Random ignore latency and failures. They are baselines for
// comparisons.
package dotterrouter
