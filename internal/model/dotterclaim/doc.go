// Package dotterclaim describes claims on idempotency keys.
//
// A key belongs to a team and a template. The first request with it claims it
// before anything is sent and keeps its answer with it when it has run. A later
// request with the same key gets that answer; while there is none, nobody can
// tell whether the first request ran, and the later one is told so.
package dotterclaim
