package dotterproxy

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrouter"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

func TestSlowRequestIsHedgedOnlyIfItMay(t *testing.T) {
	tests := map[string]struct {
		template string
		percent  int
		headers  []string
		hedged   bool
	}{
		"may":               {"hedged", 100, nil, true},
		"template does not": {"refresh", 100, nil, false},
		"caller forbids":    {"hedged", 100, []string{dotterrequest.HeaderRepeatable, "false"}, false},
		"no budget":         {"hedged", 0, nil, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			release := make(chan struct{})
			address := backend(t, func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) == 1 {
					<-release
				}
				fine(w, r)
			})
			f := start(t, func(o *Options) { o.Limits.RetryPercent = tc.percent },
				backendHost("b1", address, tc.template), backendHost("b2", address, tc.template))
			if !tc.hedged {
				time.AfterFunc(100*time.Millisecond, func() { close(release) })
			} else {
				defer close(release)
			}
			got := f.call(t, http.MethodPost, tc.template+"/1", "", tc.headers...)
			assert.Equal(t, dotteroutcome.Done, got.outcome)
			want := int64(1)
			if tc.hedged {
				want = 2
			}
			assert.Equal(t, want, runs.Load())
			assert.EqualValues(t, want-1, testutil.ToFloat64(f.proxy.meter.Hedges))
		})
	}
}

// TestRetriesStayWithinBudgetWhileServersFail has a third of the servers fail,
// with a router that goes on choosing them.
func TestRetriesStayWithinBudgetWhileServersFail(t *testing.T) {
	good := backend(t, fine)
	roundRobin := func(o *Options) {
		o.NewRouter = func(string) dotterelusher.Router { return dotterrouter.NewRoundRobin() }
	}
	f := start(t, roundRobin,
		backendHost("b1", good, "refresh"),
		backendHost("b2", good, "refresh"),
		backendHost("b3", backend(t, abort), "refresh"))
	const count = 500
	for range count {
		f.call(t, http.MethodPost, "refresh/1", "")
	}
	again := testutil.ToFloat64(f.proxy.meter.Retries) + testutil.ToFloat64(f.proxy.meter.Hedges)
	assert.Positive(t, again)
	assert.Less(t, again, 0.1*count)
}
