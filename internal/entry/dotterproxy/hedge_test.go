package dotterproxy

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrouter"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

func TestSlowRequestIsHedgedOnlyIfAllowed(t *testing.T) {
	tests := map[string]struct {
		template string
		percent  int
		headers  []string
		hedged   bool
	}{
		"allowed":         {"hedged", 100, nil, true},
		"off in template": {"refresh", 100, nil, false},
		"caller forbids":  {"hedged", 100, []string{dotterrequest.HeaderRepeatable, "false"}, false},
		"no budget":       {"hedged", 0, nil, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			release := make(chan struct{})
			address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) == 1 {
					<-release
				}
				respondFine(w, r)
			})
			f := startProxy(t, func(o *Options) { o.Limits.RetryPercent = tc.percent },
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

// TestRetriesStayWithinBudgetWhileServersFail uses a router that keeps choosing the
// failing third of the servers, so that only the retry budget limits the retries.
func TestRetriesStayWithinBudgetWhileServersFail(t *testing.T) {
	good := startBackend(t, respondFine)
	roundRobin := func(o *Options) {
		o.NewRouter = func(string) dotterelusher.Router { return dotterrouter.NewRoundRobin() }
	}
	f := startProxy(t, roundRobin,
		backendHost("b1", good, "refresh"),
		backendHost("b2", good, "refresh"),
		backendHost("b3", startBackend(t, abort), "refresh"))
	const count = 500
	for range count {
		f.call(t, http.MethodPost, "refresh/1", "")
	}
	resent := testutil.ToFloat64(f.proxy.meter.Retries) + testutil.ToFloat64(f.proxy.meter.Hedges)
	assert.Positive(t, resent)
	assert.Less(t, resent, 0.1*count)
}

// TestRequestThatCrashesServersIsNotSentOn guards against a request that ends one backend
// server after the other by its retries and hedges.
func TestRequestThatCrashesServersIsNotSentOn(t *testing.T) {
	tests := map[string]struct {
		template string
		delay    time.Duration // before each server closes the connection
	}{
		"retries":            {template: "refresh"},
		"retries and hedges": {template: "hedged", delay: 300 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			var hosts []dotterhost.Host
			for _, server := range []string{"b1", "b2", "b3", "b4", "b5", "b6"} {
				hosts = append(hosts, backendHost(server, startBackend(t, func(w http.ResponseWriter, r *http.Request) {
					if !strings.HasSuffix(r.URL.Path, "/deadly") {
						respondFine(w, r)
						return
					}
					runs.Add(1)
					time.Sleep(tc.delay)
					abort(w, r)
				}), tc.template))
			}
			f := startProxy(t, manyRetries, hosts...)
			for range 50 { // earn a budget of retries
				f.call(t, http.MethodPost, tc.template+"/1", "")
			}
			got := f.call(t, http.MethodPost, tc.template+"/deadly", "")
			assert.Equal(t, dotteroutcome.Unknown, got.outcome)
			assert.Equal(t, dotterrequest.ReasonServersLost, got.reason(t))
			assert.EqualValues(t, 2, runs.Load())
		})
	}
}
