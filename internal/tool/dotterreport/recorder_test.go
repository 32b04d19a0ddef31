package dotterreport

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func newFilledRecorder() *Recorder {
	r := NewRecorder()
	for i := 1; i <= 100; i++ {
		r.Record("Service", "Done", time.Duration(i)*time.Millisecond)
	}
	r.RecordLag(time.Millisecond)
	r.RecordUnsent()
	return r
}

func TestReportSummarizesResults(t *testing.T) {
	report := newFilledRecorder().Report()
	row, ok := report.Row("Service", "Done")
	require.True(t, ok)
	assert.EqualValues(t, 100, row.Count)
	assert.InDelta(t, 50, row.P50Millis, 0.1)
	assert.InDelta(t, 99, row.P99Millis, 0.1)
	assert.InDelta(t, 100, row.MaxMillis, 0.1)
	assert.EqualValues(t, 1, report.Unsent)
	_, ok = report.Row("Service", "NotRun")
	assert.False(t, ok)

	var table bytes.Buffer
	require.NoError(t, report.WriteTable(&table))
	assert.Contains(t, table.String(), "Service")
	path := filepath.Join(t.TempDir(), "report.json")
	require.NoError(t, report.Save(path))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Contains(t, string(data), `"P99Millis"`)
}

func TestQuantileCountsUnfinishedRequestsAsSlowest(t *testing.T) {
	tests := map[string]struct {
		unknown int
		ok      bool
		millis  float64
	}{
		"none unknown": {0, true, 95},
		"few unknown":  {4, true, 98.8},
		"many unknown": {10, false, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := newFilledRecorder()
			for range tc.unknown {
				r.Record("Service", "Unknown", time.Millisecond)
			}
			millis, ok := r.QuantileMillis("Service", "Done", 0.95)
			assert.Equal(t, tc.ok, ok)
			assert.InDelta(t, tc.millis, millis, 0.3)
		})
	}
}
