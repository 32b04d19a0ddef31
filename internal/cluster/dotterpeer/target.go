package dotterpeer

import (
	"math/rand/v2"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Backoff of dialling one address.
const (
	firstBackoff = 200 * dotterclock.Millisecond
	lastBackoff  = 5 * dotterclock.Second
)

// target is an address that is dialled until there is a link to it.
type target struct {
	nextAt  dotterclock.Millis
	backoff dotterclock.Millis
	dialing bool
}

// due reports whether the address is to be dialled now.
func (t *target) due(now dotterclock.Millis) bool {
	return !t.dialing && now >= t.nextAt
}

// failed puts the next attempt off.
func (t *target) failed(now dotterclock.Millis) {
	t.backoff = min(max(2*t.backoff, firstBackoff), lastBackoff)
	t.nextAt = now + jitter(t.backoff)
}

// linked resets the backoff.
func (t *target) linked(now dotterclock.Millis) {
	t.backoff = 0
	t.nextAt = now + jitter(firstBackoff)
}

// jitter returns span shortened or lengthened by up to a quarter.
func jitter(span dotterclock.Millis) dotterclock.Millis {
	quarter := span / 4
	if quarter == 0 {
		return span
	}
	return span - quarter + rand.N(2*quarter+1)
}
