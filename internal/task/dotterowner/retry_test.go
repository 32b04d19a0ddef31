package dotterowner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

func TestDrainRate(t *testing.T) {
	tests := map[string]struct {
		perWindow int
		wait      dotterclock.Millis
	}{
		"nothing drains": {0, retryLongest},
		"slow":           {1, retryLongest},
		"ten a second":   {50, 10 * dotterclock.Second},
		"fast":           {50_000, retryShortest},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := drainRate{}
			for window := range 40 {
				records := make([]dotterrecord.Record, tc.perWindow)
				for i := range records {
					records[i] = dotterrecord.Record{Ended: &dotterrecord.Ended{Task: "d-0-1", State: "Done"}}
				}
				d.note(records, dotterclock.Millis(window+1)*drainWindow)
			}
			require.InDelta(t, int64(tc.wait), int64(d.after(100)), 10)
		})
	}
}

func TestRetryAfterFollowsTheStateOfTheShard(t *testing.T) {
	t.Parallel()
	p := newPool(t, 1)
	p.set(func() { p.allowed.Allowed = false })
	options := p.options("a/1")
	options.Limits.MaxQueued = 40
	o := p.open(options)
	defer o.Stop()
	require.Equal(t, retryShortest, o.RetryAfter(t.Context()))
	p.submit(o, many(38, task(true, longRun))...)
	_, err := p.trySubmit(o, many(3, task(true, longRun))...)
	require.ErrorIs(t, err, ErrRefused)
	require.Equal(t, retryLongest, o.RetryAfter(t.Context()), "nothing drains")
}
