package dotterbudget

import "sync/atomic"

const (
	unit        = 1000 // parts of one retry
	earned      = 80   // parts that a first sending earns: 8%
	most        = 10 * unit
	atBeginning = 2 * unit
)

// Budget counts the retries and hedges that may be made.
type Budget struct {
	parts atomic.Int64
}

// New returns a budget that allows a few retries at once.
func New() *Budget {
	b := &Budget{}
	b.parts.Store(atBeginning)
	return b
}

// Earn takes in a request that is sent for the first time.
func (b *Budget) Earn() {
	if b.parts.Load() < most {
		b.parts.Add(earned)
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
