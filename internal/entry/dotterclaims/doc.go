// Package dotterclaims claims idempotency keys in the platform's store.
//
// A claim is a record under one key of the store. It is created only if the key is
// absent, so that exactly one entry host gets the claim, and is overwritten with
// the answer by compare-and-swap. This costs two writes for a request with an
// idempotency key and none for a request without. Claims are attached to store
// leases that are never renewed, so that they expire by themselves; each process
// uses one lease for all claims that it makes within an hour.
package dotterclaims
