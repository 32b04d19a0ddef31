// Package dotterclaim describes claims on idempotency keys.
//
// A key is unique within a team and a template. The first request with a key
// claims it before it is sent to a backend server, and its answer is stored with
// the claim. A later request with the same key gets that answer. While no answer is
// stored, it is not known whether the first request ran, and the later request
// is answered accordingly.
package dotterclaim
