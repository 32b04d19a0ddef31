package dotterclock

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestManualFiresWhenDue(t *testing.T) {
	tests := map[string]struct {
		wait, advance Millis
		fires         bool
	}{
		"due":     {wait: 10, advance: 10, fires: true},
		"not due": {wait: 10, advance: 9, fires: false},
		"zero":    {wait: 0, advance: 0, fires: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m := NewManual(5)
			fired := m.After(tc.wait)
			m.Advance(tc.advance)
			select {
			case at := <-fired:
				assert.True(t, tc.fires)
				assert.Equal(t, 5+tc.advance, at)
			default:
				assert.False(t, tc.fires)
			}
		})
	}
}
