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
		"nothing drains": {0, maxRetryAfter},
		"slow":           {1, maxRetryAfter},
		"ten a second":   {50, 10 * dotterclock.Second},
		"fast":           {50_000, minRetryAfter},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := drainRate{}
			for window := range 40 {
				records := make([]dotterrecord.Record, tc.perWindow)
				for i := range records {
					records[i] = dotterrecord.Record{Ended: &dotterrecord.Ended{Task: "d-0-1", State: "Done"}}
				}
				d.add(records, dotterclock.Millis(window+1)*drainRateWindow)
			}
			require.InDelta(t, int64(tc.wait), int64(d.timeToDrain(100)), 10)
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
	require.Equal(t, minRetryAfter, o.RetryAfter(t.Context()))
	p.submit(o, repeat(38, task(true, longRunMillis))...)
	_, err := p.trySubmit(o, repeat(3, task(true, longRunMillis))...)
	require.ErrorIs(t, err, ErrRefused)
	require.Equal(t, maxRetryAfter, o.RetryAfter(t.Context()), "nothing drains")
}
