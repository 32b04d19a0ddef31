// Package dotterrequest defines a caller's request to a service, its answer and
// its refusal.
//
// A Request holds the whole body before any of it is sent, so that a caller that
// disconnects while sending its request has no effect on a backend server. An
// Answer holds the whole body, or its start and a stream of the rest. A Refusal is
// the final result of a request without an answer: it says whether the request may
// have run, why it failed, and when to retry.
package dotterrequest
