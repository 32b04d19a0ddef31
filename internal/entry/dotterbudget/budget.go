package dotterbudget

import "sync/atomic"

const (
	unit = 100       // parts of one retry, so that a percent is one part
	most = 10 * unit // what can be saved up
)

// Budget counts the retries and hedges that may be made.
type Budget struct {
	percent int64
	parts   atomic.Int64
}

// New returns a budget of percent retries for each hundred requests.
func New(percent int) *Budget {
	return &Budget{percent: int64(percent)}
}

// Earn takes in a request that is sent for the first time.
func (b *Budget) Earn() {
	if b.parts.Load() < most {
		b.parts.Add(b.percent)
	}
}

// Spend takes one retry or hedge, or reports that none may be made.
func (b *Budget) Spend() bool {
	for {
		parts := b.parts.Load()
		if parts < unit {
			return false
		}
		if b.parts.CompareAndSwap(parts, parts-unit) {
			return true
		}
	}
}
