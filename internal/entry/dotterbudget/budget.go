package dotterbudget

import "sync/atomic"

const (
	partsPerRetry = 100                // a percent of a retry is one part
	maxParts      = 10 * partsPerRetry // bounds the retries that unused parts can add up to
)

// Budget limits retries and hedges to a percentage of the requests.
type Budget struct {
	percent int64
	parts   atomic.Int64
}

// New returns a budget of percent retries per hundred requests. It starts empty.
func New(percent int) *Budget {
	return &Budget{percent: int64(percent)}
}

// Earn credits the budget with percent parts. It is called once for each request
// that is sent for the first time.
func (b *Budget) Earn() {
	if b.parts.Load() < maxParts {
		b.parts.Add(b.percent)
	}
}

// Spend deducts one retry or hedge, or returns false if the budget is too low.
func (b *Budget) Spend() bool {
	for {
		parts := b.parts.Load()
		if parts < partsPerRetry {
			return false
		}
		if b.parts.CompareAndSwap(parts, parts-partsPerRetry) {
			return true
		}
	}
}
