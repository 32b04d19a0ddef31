package dotterexplain

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestJobShowsWhatPrecedesItsFirstLine guards against leaving out the restart of a worker that
// is logged before any line of the job that ran there.
func TestJobShowsWhatPrecedesItsFirstLine(t *testing.T) {
	const jobLine = `{"Time":10000,"Host":"a1","Message":"run lost","Job":"f3","Worker":"w0"}`
	tests := map[string]struct {
		line  string
		shown bool
	}{
		"restart of its worker":         {line: `{"Time":9000,"Host":"a1","Message":"worker restarted","Worker":"w0"}`, shown: true},
		"long before":                   {line: `{"Time":4000,"Host":"a1","Message":"worker restarted","Worker":"w0"}`},
		"restart of another worker":     {line: `{"Time":9000,"Host":"a1","Message":"worker restarted","Worker":"w1"}`},
		"another job on its worker":     {line: `{"Time":9000,"Host":"a1","Message":"run lost","Job":"f4","Worker":"w0"}`},
		"general line before the job":   {line: `{"Time":9000,"Host":"a1","Message":"owner changed"}`},
		"general line while it is open": {line: `{"Time":10000,"Host":"a1","Message":"owner changed"}`, shown: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			lines, err := Job("f3", strings.NewReader(fmt.Sprintln(tc.line)+jobLine))
			require.NoError(t, err)
			if tc.shown {
				assert.Len(t, lines, 2)
			} else {
				assert.Len(t, lines, 1)
			}
		})
	}
}
