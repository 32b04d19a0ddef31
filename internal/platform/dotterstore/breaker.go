package dotterstore

import (
	"math/rand/v2"
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Bounds of the circuit breaker. The longest pause is short, because a refusal by
// the breaker is taken for news that the store is away, and such news must be fresh.
const (
	breakerFailures                    = 5   // unanswered calls in a row that open it
	breakerShortest dotterclock.Millis = 200 // first pause
	breakerLongest  dotterclock.Millis = 500
)

// breaker refuses calls for a while after several in a row went unanswered.
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

// allow reports whether a call may be sent. While the breaker is open it lets
// one call through at the end of each pause.
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

// record takes in whether the store answered a call.
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

// nextPause doubles the pause up to its bound and spreads it by half. The caller holds mu.
func (b *breaker) nextPause() dotterclock.Millis {
	b.pause = min(max(2*b.pause, breakerShortest), breakerLongest)
	return b.pause/2 + dotterclock.Millis(rand.Int64N(int64(b.pause)))
}
