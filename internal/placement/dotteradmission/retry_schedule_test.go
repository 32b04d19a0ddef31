package dotteradmission

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// TestRefusedCallersReturnSpread guards against callers that return together when a backlog
// ends, and against those that return before others which were refused earlier.
func TestRefusedCallersReturnSpread(t *testing.T) {
	const count = 200
	tests := map[string]struct {
		every dotterclock.Millis
		wait  func(i int) dotterclock.Millis // expected, of the i-th job
	}{
		"the backlog grows":           {every: 50, wait: func(i int) dotterclock.Millis { return 20_000 + dotterclock.Millis(i)*100 }},
		"the backlog drains":          {every: 50, wait: func(i int) dotterclock.Millis { return 20_000 - dotterclock.Millis(i)*50 }},
		"the backlog changes quickly": {every: 50, wait: func(i int) dotterclock.Millis { return 12_000 + dotterclock.Millis(i%7)*1500 }},
		"hopeless":                    {every: 50, wait: func(int) dotterclock.Millis { return maxWait }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRetrySchedule()
			var previous dotterclock.Millis
			perSecond := map[dotterclock.Millis]int{}
			for i := range count {
				now := dotterclock.Millis(i) * tc.every
				after := r.Next(now, Decision{Wait: tc.wait(i), Limit: 10_000, Lane: Lane{Service: "pool"}})
				assert.Zero(t, after%dotterclock.Second, "Retry-After has whole seconds")
				assert.GreaterOrEqual(t, after, minRetryAfter)
				assert.LessOrEqual(t, after, maxRetryAfter)
				assert.GreaterOrEqual(t, now+after, previous, "refused later, returns sooner")
				previous = now + after
				perSecond[previous/dotterclock.Second]++
			}
			most := 0
			for _, n := range perSecond {
				most = max(most, n)
			}
			refusedPerSecond := int(dotterclock.Second / tc.every)
			assert.LessOrEqual(t, most, 2*refusedPerSecond, "returns in one second")
		})
	}
}

// TestLanesReturnApart guards against a caller of a high priority that waits behind those of a
// lower one.
func TestLanesReturnApart(t *testing.T) {
	r := NewRetrySchedule()
	assert.Equal(t, 50*dotterclock.Second, r.Next(0, Decision{Wait: 60_000, Limit: 10_000, Lane: Lane{Service: "pool", Rank: 2}}))
	assert.Equal(t, 2*dotterclock.Second, r.Next(10, Decision{Wait: 6000, Limit: 4000, Lane: Lane{Service: "pool"}}))
}
