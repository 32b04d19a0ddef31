package dotterattempt

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

func TestUsageAtShiftsToTheReadersClock(t *testing.T) {
	tests := map[string]struct {
		clock, measured, want dotterclock.Millis
	}{
		"same clock":    {clock: 5000, measured: 3000, want: 3000},
		"worker ahead":  {clock: 65_000, measured: 63_000, want: 3000},
		"worker behind": {clock: 1000, measured: -1000, want: 3000},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := Report{Clock: tc.clock, Usage: []Usage{{At: tc.measured}}}
			assert.Equal(t, tc.want, r.UsageAt(5000)[0].At)
			assert.Equal(t, tc.measured, r.Usage[0].At, "the report itself must not change")
		})
	}
}
