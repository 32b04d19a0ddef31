package dottermemory

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// lease is a lease with the keys that are deleted when it ends.
type lease struct {
	ttl       dotterclock.Millis
	expiresAt dotterclock.Millis
	keys      map[string]bool
}
