// Package dotterstore is a client of the platform's key-value store over HTTP.
//
// A Client implements the error contract of dotterelusher.Store. It returns
// ErrStoreUnavailable for a call that was never sent or that, according to the
// platform, had no effect, and ErrStoreIndeterminate for a write for which that is
// not certain. It never retries.
//
// Two mechanisms protect the store, which all entry hosts share. Token buckets limit
// this process's reads and writes per second; a call that gets no token in time is
// not sent. A circuit breaker rejects calls after several consecutive calls went
// unanswered. It allows single calls at intervals to detect when the store is
// available again, with jitter so that the processes don't probe in step.
package dotterstore
