package dotterbudget

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRetriesAreAFixedShareOfRequests(t *testing.T) {
	for name, percent := range map[string]int{"none": 0, "default": 8, "maximum": 100} {
		t.Run(name, func(t *testing.T) {
			b := New(percent)
			spent := 0
			for range 10_000 {
				b.Earn()
				for b.Spend() {
					spent++
				}
			}
			assert.Equal(t, 100*percent, spent)
		})
	}
}

func TestUnusedBudgetIsBounded(t *testing.T) {
	b := New(8)
	for range 10_000 {
		b.Earn()
	}
	spent := 0
	for b.Spend() {
		spent++
	}
	assert.LessOrEqual(t, spent, maxParts/partsPerRetry)
}
