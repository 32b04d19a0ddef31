package dottermemory

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// lease holds the keys that vanish when it lapses.
type lease struct {
	span  dotterclock.Millis
	until dotterclock.Millis
	keys  map[string]bool
}
