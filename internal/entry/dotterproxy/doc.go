// Package dotterproxy answers callers' requests to services.
//
// A Proxy handles ANY /v1/services/{Template}/...: it takes the request in
// whole, claims its idempotency key if it has one, has it carried to a backend
// server, and passes the answer back with its outcome. A short answer is
// received whole before any of it is passed on, so that one that breaks off
// becomes an error with its outcome; a long one is streamed, and its connection
// to the caller is broken when it breaks off, so that it can't be taken for
// whole.
//
// A request that is given up is answered at once. One of which nothing was run
// is told when to come back.
package dotterproxy
