package dotterproxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrouter"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterfake"
)

const pollInterval = 2 * time.Millisecond

// closedAddress returns an address at which there is no listener.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// truncate sends half of the announced body and aborts the connection.
func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "8")
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// abort aborts the connection without a response.
func abort(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

// refuse responds that the server did not run the request.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(dotterrequest.HeaderNotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// respondFine responds with status 200 and the body "fine".
func respondFine(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "fine")
}

func TestOutcomesOfFaultyServers(t *testing.T) {
	const timeoutHeader = dotterrequest.HeaderTimeout
	tests := map[string]struct {
		faulty  http.HandlerFunc // nil: no listener at the address
		path    string
		headers []string
		outcome dotteroutcome.Outcome
		reason  dotterrequest.Reason
		runs    int64
	}{
		"truncated answer":          {truncate, "clearance/1", nil, dotteroutcome.Unknown, dotterrequest.ReasonAnswerLost, 1},
		"no answer":                 {abort, "clearance/1", nil, dotteroutcome.Unknown, dotterrequest.ReasonAnswerLost, 1},
		"repeatable forbidden":      {abort, "refresh/1", []string{dotterrequest.HeaderRepeatable, "false"}, dotteroutcome.Unknown, dotterrequest.ReasonAnswerLost, 1},
		"repeatable can't be added": {abort, "clearance/1", []string{dotterrequest.HeaderRepeatable, "true"}, dotteroutcome.Unknown, dotterrequest.ReasonAnswerLost, 1},
		"key makes it run once":     {abort, "refresh/1", []string{dotterrequest.HeaderKey, "k"}, dotteroutcome.Unknown, dotterrequest.ReasonAnswerLost, 1},
		"refused by the server":     {refuse, "clearance/1", nil, dotteroutcome.NotRun, dotterrequest.ReasonServerRefused, 1},
		"nothing listens":           {nil, "clearance/1", nil, dotteroutcome.NotRun, dotterrequest.ReasonUnreachable, 0},
		"later than the deadline": {func(_ http.ResponseWriter, r *http.Request) { time.Sleep(300 * time.Millisecond) },
			"clearance/1", []string{timeoutHeader, "50"}, dotteroutcome.Unknown, dotterrequest.ReasonTimedOut, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			address := closedAddress(t)
			if tc.faulty != nil {
				address = startBackend(t, func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					tc.faulty(w, r)
				})
			}
			template, _, _ := strings.Cut(tc.path, "/")
			f := startProxy(t, noRetries, backendHost("b1", address, template))
			got := f.call(t, http.MethodPost, tc.path, "transfer", tc.headers...)
			assert.Equal(t, tc.outcome, got.outcome)
			assert.Equal(t, tc.reason, got.reason(t))
			assert.Equal(t, tc.runs, runs.Load())
			assert.Equal(t, tc.outcome == dotteroutcome.NotRun, got.header.Get("Retry-After") != "")
		})
	}
}

func noRetries(o *Options) {
	o.Limits.RetryPercent = 0
}

func manyRetries(o *Options) {
	o.Limits.RetryPercent = 100
}

func TestRetriesOnlyWhereTheyAreSafe(t *testing.T) {
	tests := map[string]struct {
		faulty  http.HandlerFunc
		path    string
		outcome dotteroutcome.Outcome
	}{
		"repeatable, connection aborted": {abort, "refresh/1", dotteroutcome.Done},
		"repeatable, truncated":          {truncate, "refresh/1", dotteroutcome.Done},
		"repeatable, refused":            {refuse, "refresh/1", dotteroutcome.Done},
		"repeatable, not sent":           {nil, "refresh/1", dotteroutcome.Done},
		"not repeatable, refused":        {refuse, "clearance/1", dotteroutcome.Done},
		"not repeatable, not sent":       {nil, "clearance/1", dotteroutcome.Done},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			faulty := closedAddress(t)
			if tc.faulty != nil {
				faulty = startBackend(t, tc.faulty)
			}
			template, _, _ := strings.Cut(tc.path, "/")
			f := startProxy(t, manyRetries, backendHost("faulty", faulty, template), backendHost("fine", startBackend(t, respondFine), template))
			for range 20 {
				got := f.call(t, http.MethodPost, tc.path, "x")
				assert.Equal(t, tc.outcome, got.outcome, got.body)
				assert.Equal(t, "fine", got.body)
			}
		})
	}
}

// TestNonRepeatableRequestRunsOnce checks that a request that must not be repeated is
// sent once when every server fails to respond completely and the retry budget is
// ample.
func TestNonRepeatableRequestRunsOnce(t *testing.T) {
	tests := map[string]struct {
		path    string
		headers []string
	}{
		"template not repeatable": {"clearance/1", nil},
		"caller forbids it":       {"refresh/1", []string{dotterrequest.HeaderRepeatable, "false"}},
		"key":                     {"refresh/1", []string{dotterrequest.HeaderKey, "k"}},
		"key, store unavailable":  {"allowed/1", []string{dotterrequest.HeaderKey, "k"}},
		"hedged template":         {"hedged/1", []string{dotterrequest.HeaderRepeatable, "false"}},
	}
	for name, tc := range tests {
		for fault, faulty := range map[string]http.HandlerFunc{"truncate": truncate, "abort": abort} {
			t.Run(name+" "+fault, func(t *testing.T) {
				var runs atomic.Int64
				count := func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					faulty(w, r)
				}
				template, _, _ := strings.Cut(tc.path, "/")
				f := startProxy(t, manyRetries, backendHost("b1", startBackend(t, count), template), backendHost("b2", startBackend(t, count), template))
				f.claims.SetAway(name == "key, store unavailable")
				got := f.call(t, http.MethodPost, tc.path, "x", tc.headers...)
				assert.Equal(t, dotteroutcome.Unknown, got.outcome)
				assert.EqualValues(t, 1, runs.Load())
			})
		}
	}
}

// TestLostThenRefusedIsUnknown checks that the outcome is Unknown when a request was
// lost on the first attempt and refused on a later one: the first may have run.
func TestLostThenRefusedIsUnknown(t *testing.T) {
	var runs atomic.Int64
	address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			abort(w, r)
		}
		refuse(w, r)
	})
	f := startProxy(t, manyRetries, backendHost("b1", address, "refresh"))
	got := f.call(t, http.MethodPost, "refresh/1", "x")
	assert.Equal(t, dotteroutcome.Unknown, got.outcome)
	assert.Greater(t, runs.Load(), int64(1))
}

func TestConcurrentCallersGetTheirOwnCompleteAnswers(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 16<<10)
	address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(len(r.URL.Path)%3) * time.Millisecond)
		if r.URL.Query().Has("long") {
			_, _ = io.WriteString(w, r.URL.Path+long)
			return
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	f := startProxy(t, nil, backendHost("b1", address, "clearance"), backendHost("b2", address, "clearance"))
	var callers sync.WaitGroup
	for caller := range 16 {
		callers.Go(func() {
			for i := range 25 {
				path := fmt.Sprintf("/%d/%s/%d", caller, strings.Repeat("x", i), i)
				query, want := "", path
				if i%5 == 0 {
					query, want = "?long", path+long
				}
				got := f.call(t, http.MethodGet, "clearance"+path+query, "")
				assert.NoError(t, got.err)
				assert.Equal(t, dotteroutcome.Done, got.outcome)
				assert.True(t, want == got.body, "got %d bytes, want %d", len(got.body), len(want))
			}
		})
	}
	callers.Wait()
}

func TestTruncatedStreamIsReportedAsError(t *testing.T) {
	for name, length := range map[string]string{"length known": "1000000", "chunked": ""} {
		t.Run(name, func(t *testing.T) {
			address := startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = w.Write(make([]byte, 500_000))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
			f := startProxy(t, nil, backendHost("b1", address, "clearance"))
			got := f.call(t, http.MethodGet, "clearance/1", "")
			assert.Error(t, got.err)
		})
	}
}

func TestSlotIsHeldUntilTheServerIsDone(t *testing.T) {
	release := make(chan struct{})
	var runs atomic.Int64
	address := startBackend(t, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		<-release
	})
	f := startProxy(t, func(o *Options) {
		o.Connections.LateAnswerMillis = 60_000
		o.Limits.QueueWaitMillis = 20
	}, backendHost("b1", address, "clearance"))
	f.permits.SetSlots(1)
	got := f.call(t, http.MethodPost, "clearance/1", "", dotterrequest.HeaderTimeout, "30")
	require.Equal(t, dotteroutcome.Unknown, got.outcome)
	for range 5 {
		got = f.call(t, http.MethodPost, "clearance/1", "")
		assert.Equal(t, dotteroutcome.NotRun, got.outcome)
	}
	assert.EqualValues(t, 1, runs.Load())
	close(release)
	require.Eventually(t, func() bool { return f.proxy.FreeSlots() == 1 }, waitTimeout, pollInterval)
	assert.Equal(t, dotteroutcome.Done, f.call(t, http.MethodPost, "clearance/1", "").outcome)
}

func TestServerNeverHasMoreRequestsThanItsSlots(t *testing.T) {
	var inFlight, maxInFlight atomic.Int64
	address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		n := inFlight.Add(1)
		for seen := maxInFlight.Load(); n > seen && !maxInFlight.CompareAndSwap(seen, n); seen = maxInFlight.Load() {
		}
		time.Sleep(5 * time.Millisecond)
		inFlight.Add(-1)
		if r.URL.Query().Has("abort") {
			abort(w, r)
		}
	})
	f := startProxy(t, func(o *Options) { o.Limits.QueueWaitMillis = 10_000 }, backendHost("b1", address, "clearance"))
	f.permits.SetSlots(3)
	var callers sync.WaitGroup
	for caller := range 24 {
		callers.Go(func() {
			for i := range 4 {
				timeout := "30000"
				if i%4 == 1 {
					timeout = "3"
				}
				query := ""
				if (caller+i)%7 == 0 {
					query = "?abort"
				}
				f.call(t, http.MethodPost, "clearance/1"+query, "", dotterrequest.HeaderTimeout, timeout)
			}
		})
	}
	callers.Wait()
	assert.LessOrEqual(t, maxInFlight.Load(), int64(3))
}

func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	var onLeaving atomic.Int64
	leaving := startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		onLeaving.Add(1)
		w.Header().Set(dotterrequest.HeaderLeaving, "true")
	})
	f := startProxy(t, nil, backendHost("leaving", leaving, "clearance"))
	f.call(t, http.MethodPost, "clearance/1", "")
	f.directory.Set(backendHost("leaving", leaving, "clearance"), backendHost("stays", startBackend(t, respondFine), "clearance"))
	require.Eventually(t, func() bool { return f.call(t, http.MethodPost, "clearance/1", "").body == "fine" }, waitTimeout, pollInterval)
	for range 20 {
		assert.Equal(t, "fine", f.call(t, http.MethodPost, "clearance/1", "").body)
	}
	assert.EqualValues(t, 1, onLeaving.Load())
}

// TestLocalConnectionLimitDoesNotEjectServer checks that a request that fails because
// the host has used up its connections to a server does not count as a failure of
// the server.
func TestLocalConnectionLimitDoesNotEjectServer(t *testing.T) {
	release := make(chan struct{})
	var runs atomic.Int64
	address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			<-release
		}
		respondFine(w, r)
	})
	router := dotterrouter.NewPowerOfTwo(1)
	permits := dotterfake.NewPermits(8, 1)
	f := startProxy(t, func(o *Options) {
		o.Limits.RetryPercent = 0
		o.Permits = permits
		o.Connections.DialMillis = 20
		o.NewRouter = func(template string) dotterelusher.Router {
			if template == "clearance" {
				return router
			}
			return dotterrouter.NewRandom(1)
		}
	}, backendHost("b1", address, "clearance"))
	first := make(chan answer, 1)
	go func() { first <- f.call(t, http.MethodPost, "clearance/1", "") }()
	require.Eventually(t, func() bool { return runs.Load() == 1 }, waitTimeout, pollInterval)
	got := f.call(t, http.MethodPost, "clearance/1", "")
	assert.Equal(t, dotterrequest.ReasonUnreachable, got.reason(t))
	close(release)
	assert.Equal(t, dotteroutcome.Done, (<-first).outcome)
	require.NoError(t, f.proxy.Drain(context.Background()))
	assert.False(t, router.Ejected("b1"))
}

func TestDirectoryAndConfigurationRemoveServers(t *testing.T) {
	tests := map[string]func(f *fixture, h dotterhost.Host){
		"leaving in the directory": func(f *fixture, h dotterhost.Host) {
			f.directory.Set(h.WithState(dotterhost.StateLeaving))
		},
		"host drained": func(f *fixture, h dotterhost.Host) {
			d := document()
			d.Revision++
			d.Draining = []string{h.Name}
			f.configuration.Set(d)
		},
		"domain out": func(f *fixture, _ dotterhost.Host) {
			d := document()
			d.Revision++
			d.FailureDomains[0].Out = true
			f.configuration.Set(d)
		},
	}
	for name, removeServer := range tests {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			h := backendHost("b1", startBackend(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) }), "clearance")
			f := startProxy(t, nil, h)
			require.Equal(t, dotteroutcome.Done, f.call(t, http.MethodPost, "clearance/1", "").outcome)
			removeServer(f, h)
			require.Eventually(t, func() bool {
				return f.call(t, http.MethodPost, "clearance/1", "").outcome == dotteroutcome.NotRun
			}, waitTimeout, pollInterval)
			before := runs.Load()
			for range 10 {
				f.call(t, http.MethodPost, "clearance/1", "")
				f.call(t, http.MethodPost, "clearance/1", "", dotterrequest.HeaderHop, dotterrequest.HopForwarded)
			}
			assert.Equal(t, before, runs.Load())
		})
	}
}
