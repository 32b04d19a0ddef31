// Package dotterrequest describes a caller's request to a service, its answer
// and its refusal.
//
// A Request is complete before anything of it is sent: its body is held whole,
// so that a caller that goes away half-way has caused nothing. An Answer is
// whole, or its rest is still being streamed. A Refusal is the final answer to
// a request that has none: it says whether the request may have run, why, and
// when it is worth repeating.
package dotterrequest
