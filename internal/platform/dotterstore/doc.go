// Package dotterstore reaches the platform's key-value service over HTTP.
//
// A Client keeps the promises of dotterelusher.Store about errors: a call that
// was never sent, or that the platform says took no effect, is
// ErrStoreUnavailable; a write of which that can't be said is
// ErrStoreIndeterminate. It never sends a call twice.
//
// Two things protect the store, which all entry hosts share. Token buckets
// bound this process's reads and writes per second; a call that can't get its
// token in time was not sent. A circuit breaker stops calls after several in a
// row went unanswered and lets one through now and then to find out whether
// the store is back, with jitter so that processes don't return together.
package dotterstore
