package dotterproxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// respondWithRunCount returns a handler that counts its calls in runs and responds
// with the number of the call.
func respondWithRunCount(runs *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprintf(w, "run %d", runs.Add(1))
	}
}

func TestKeyedRequestRunsOnceAcrossHosts(t *testing.T) {
	var runs atomic.Int64
	address := startBackend(t, respondWithRunCount(&runs))
	a := startProxy(t, nil, backendHost("b1", address, "clearance"))
	b := startProxy(t, func(o *Options) { o.Claims = a.claims }, backendHost("b1", address, "clearance"))
	var done atomic.Int64
	var callers sync.WaitGroup
	for i := range 20 {
		f := []*fixture{a, b}[i%2]
		callers.Go(func() {
			got := f.call(t, http.MethodPost, "clearance/1", "transfer", dotterrequest.HeaderIdempotencyKey, "k1")
			switch got.outcome {
			case dotteroutcome.Done:
				done.Add(1)
				assert.Equal(t, "run 1", got.body)
				assert.Equal(t, http.StatusCreated, got.status)
			default:
				assert.Equal(t, dotteroutcome.Unknown, got.outcome)
				assert.Equal(t, dotterrequest.ReasonKeyInProgress, got.reason(t))
			}
		})
	}
	callers.Wait()
	assert.Positive(t, done.Load())
	assert.EqualValues(t, 1, runs.Load())
	got := b.call(t, http.MethodPost, "clearance/1", "transfer", dotterrequest.HeaderIdempotencyKey, "k1")
	assert.Equal(t, "run 1", got.body)
	other := b.call(t, http.MethodPost, "clearance/1", "another transfer", dotterrequest.HeaderIdempotencyKey, "k1")
	assert.Equal(t, dotterrequest.ReasonKeyReused, other.reason(t))
	assert.EqualValues(t, 1, runs.Load())
}

func TestKeyIsReleasedWhenRequestWasNotRun(t *testing.T) {
	var runs atomic.Int64
	f := startProxy(t, noRetries, backendHost("b1", closedAddress(t), "clearance"))
	got := f.call(t, http.MethodPost, "clearance/1", "transfer", dotterrequest.HeaderIdempotencyKey, "k1")
	require.Equal(t, dotteroutcome.NotRun, got.outcome)
	f.directory.Set(backendHost("b2", startBackend(t, respondWithRunCount(&runs)), "clearance"))
	require.Eventually(t, func() bool {
		got = f.call(t, http.MethodPost, "clearance/1", "transfer", dotterrequest.HeaderIdempotencyKey, "k1")
		return got.outcome == dotteroutcome.Done
	}, waitTimeout, pollInterval)
	assert.EqualValues(t, 1, runs.Load())
}

func TestRetryWithKeyOfLostRequestIsUnknown(t *testing.T) {
	var runs atomic.Int64
	address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		abort(w, r)
	})
	f := startProxy(t, manyRetries, backendHost("b1", address, "clearance"))
	for range 3 {
		got := f.call(t, http.MethodPost, "clearance/1", "transfer", dotterrequest.HeaderIdempotencyKey, "k1")
		assert.Equal(t, dotteroutcome.Unknown, got.outcome)
	}
	assert.EqualValues(t, 1, runs.Load())
}

func TestLargeAnswerIsNotStored(t *testing.T) {
	var runs atomic.Int64
	address := startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(w, strings.Repeat("x", 200_000))
	})
	f := startProxy(t, nil, backendHost("b1", address, "clearance"))
	first := f.call(t, http.MethodPost, "clearance/1", "", dotterrequest.HeaderIdempotencyKey, "k1")
	assert.Len(t, first.body, 200_000)
	second := f.call(t, http.MethodPost, "clearance/1", "", dotterrequest.HeaderIdempotencyKey, "k1")
	assert.Equal(t, dotteroutcome.Done, second.outcome)
	assert.Equal(t, http.StatusGone, second.status)
	assert.Equal(t, dotterrequest.ReasonAnswerNotKept, second.reason(t))
	assert.EqualValues(t, 1, runs.Load())
}

func TestKeyedRequestsDuringStoreOutage(t *testing.T) {
	tests := map[string]struct {
		template string
		key      string
		outcome  dotteroutcome.Outcome
		runs     int64
	}{
		"not repeatable, with a key":        {"clearance", "k", dotteroutcome.NotRun, 0},
		"not repeatable, without a key":     {"clearance", "", dotteroutcome.Done, 1},
		"not repeatable, template allows":   {"allowed", "k", dotteroutcome.Done, 1},
		"repeatable, with a key":            {"refresh", "k", dotteroutcome.Done, 1},
		"repeatable and hedged, with a key": {"hedged", "k", dotteroutcome.Done, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			f := startProxy(t, manyRetries, backendHost("b1", startBackend(t, respondWithRunCount(&runs)), tc.template))
			f.claims.SetUnavailable(true)
			var headers []string
			if tc.key != "" {
				headers = []string{dotterrequest.HeaderIdempotencyKey, tc.key}
			}
			got := f.call(t, http.MethodPost, tc.template+"/1", "", headers...)
			assert.Equal(t, tc.outcome, got.outcome)
			assert.Equal(t, tc.runs, runs.Load())
			if tc.outcome == dotteroutcome.NotRun {
				assert.Equal(t, dotterrequest.ReasonStoreUnavailable, got.reason(t))
				assert.NotEmpty(t, got.header.Get("Retry-After"))
			}
		})
	}
}
