package dotterstore

import (
	"math/rand/v2"
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Parameters of the circuit breaker. The maximum pause is short because a rejection
// by the breaker counts as evidence that the store is unavailable, and such evidence
// must be recent.
const (
	breakerFailures                    = 5   // consecutive unanswered calls that open the breaker
	breakerMinPause dotterclock.Millis = 200 // first pause
	breakerMaxPause dotterclock.Millis = 500
)

// breaker is a circuit breaker: it rejects calls for a pause after several consecutive
// calls went unanswered.
type breaker struct {
	clock dotterelusher.Clock

	mu       sync.Mutex
	failures int
	pause    dotterclock.Millis
	retryAt  dotterclock.Millis
}

func newBreaker(clock dotterelusher.Clock) *breaker {
	return &breaker{clock: clock}
}

// allow reports whether a call may be sent. While the breaker is open, it allows one
// call at the end of each pause.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerFailures {
		return true
	}
	now := b.clock.Now()
	if now < b.retryAt {
		return false
	}
	b.retryAt = now + b.nextPause()
	return true
}

// record records whether the store answered a call.
func (b *breaker) record(answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if answered {
		b.failures = 0
		b.pause = 0
		return
	}
	b.failures++
	if b.failures == breakerFailures {
		b.retryAt = b.clock.Now() + b.nextPause()
	}
}

// nextPause doubles the pause up to its maximum and returns it with a jitter of plus or
// minus half. The caller must hold mu.
func (b *breaker) nextPause() dotterclock.Millis {
	b.pause = min(max(2*b.pause, breakerMinPause), breakerMaxPause)
	return b.pause/2 + dotterclock.Millis(rand.Int64N(int64(b.pause)))
}
