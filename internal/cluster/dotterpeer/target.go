package dotterpeer

import (
	"math/rand/v2"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Bounds of the backoff for dialing one address.
const (
	minBackoff = 200 * dotterclock.Millisecond
	maxBackoff = 5 * dotterclock.Second
)

// target is the dialing state of one address.
type target struct {
	nextDialAt dotterclock.Millis
	backoff    dotterclock.Millis
	dialing    bool
}

// due reports whether the address is to be dialed now.
func (t *target) due(now dotterclock.Millis) bool {
	return !t.dialing && now >= t.nextDialAt
}

// recordFailure doubles the backoff and postpones the next attempt by it.
func (t *target) recordFailure(now dotterclock.Millis) {
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	t.nextDialAt = now + jitter(t.backoff)
}

// recordSuccess resets the backoff. The next attempt is postponed by about minBackoff.
func (t *target) recordSuccess(now dotterclock.Millis) {
	t.backoff = 0
	t.nextDialAt = now + jitter(minBackoff)
}

// jitter returns duration changed at random by up to a quarter in either direction.
func jitter(duration dotterclock.Millis) dotterclock.Millis {
	quarter := duration / 4
	if quarter == 0 {
		return duration
	}
	return duration - quarter + rand.N(2*quarter+1)
}
