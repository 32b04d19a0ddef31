// Package dotterclaims claims idempotency keys in the platform's store.
//
// A claim is one key in the store, created if absent, so that of all entry
// hosts one wins; the answer is written over it by compare-and-swap. That is two
// writes for a request with a key and none for one without. Claims are tied to
// store leases that are never renewed, one for each span of time and process, so
// that they expire by themselves.
package dotterclaims
