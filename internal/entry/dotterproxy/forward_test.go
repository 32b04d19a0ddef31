package dotterproxy

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

func peer(name, domain, address string, free int) dotterelusher.Peer {
	return dotterelusher.Peer{Name: name, FailureDomain: domain, CallerAddress: address, FreeSlots: free}
}

func addressOf(f *fixture) string {
	return strings.TrimPrefix(f.server.URL, "http://")
}

// inRemoteDomain is an option change that puts the proxy in the remote domain.
func inRemoteDomain(o *Options) {
	o.FailureDomain = remoteDomain
}

func TestRequestIsForwardedOneHop(t *testing.T) {
	var receivedID atomic.Value
	h := backendHost("b1", startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		receivedID.Store(r.Header.Get(dotterrequest.HeaderRequest))
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}), "clearance")
	h.FailureDomain = remoteDomain
	a := startProxy(t, nil)
	b := startProxy(t, inRemoteDomain, h)
	a.peers.Set(peer("b", remoteDomain, addressOf(b), 8))
	got := a.call(t, http.MethodPost, "clearance/1", "transfer", dotterrequest.HeaderRequest, "r1")
	assert.Equal(t, dotteroutcome.Done, got.outcome)
	assert.Equal(t, "transfer", got.body)
	assert.Equal(t, "r1", receivedID.Load())

	// Without servers in either domain, the second host must not forward the request
	// again.
	b.directory.Set()
	b.peers.Set(peer("a", localDomain, addressOf(a), 8))
	require.Eventually(t, func() bool {
		got = a.call(t, http.MethodPost, "clearance/1", "transfer")
		return got.outcome == dotteroutcome.NotRun
	}, waitTimeout, pollInterval)
	assert.Equal(t, dotterrequest.ReasonNoServer, got.reason(t))
	assert.Zero(t, testutil.ToFloat64(b.proxy.meter.Forwards))
}

func TestOutcomesOfForwards(t *testing.T) {
	tests := map[string]struct {
		peer    http.HandlerFunc // nil: no listener at the address
		outcome dotteroutcome.Outcome
	}{
		"not sent":           {nil, dotteroutcome.NotRun},
		"connection aborted": {abort, dotteroutcome.Unknown},
		"truncated":          {truncate, dotteroutcome.Unknown},
		"no outcome": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}, dotteroutcome.Unknown},
		"not run there": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(dotteroutcome.Header, string(dotteroutcome.NotRun))
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, dotteroutcome.NotRun},
		"unknown there": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(dotteroutcome.Header, string(dotteroutcome.Unknown))
			w.WriteHeader(http.StatusGatewayTimeout)
		}, dotteroutcome.Unknown},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			address := closedAddress(t)
			if tc.peer != nil {
				address = startBackend(t, func(w http.ResponseWriter, r *http.Request) {
					calls.Add(1)
					tc.peer(w, r)
				})
			}
			f := startProxy(t, manyRetries)
			f.peers.Set(peer("b", remoteDomain, address, 8))
			got := f.call(t, http.MethodPost, "refresh/1", "x")
			assert.Equal(t, tc.outcome, got.outcome)
			assert.Equal(t, tc.outcome == dotteroutcome.NotRun, got.header.Get("Retry-After") != "")
			assert.LessOrEqual(t, calls.Load(), int64(1))
		})
	}
}

func TestIneligiblePeersGetNoForwards(t *testing.T) {
	address := startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		t.Error("forwarded")
	})
	leaving := peer("b", remoteDomain, address, 8)
	leaving.Leaving = true
	tests := map[string]struct {
		peer dotterelusher.Peer
		out  bool
	}{
		"leaving":     {leaving, false},
		"same domain": {peer("b", localDomain, address, 8), false},
		"domain out":  {peer("b", remoteDomain, address, 8), true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := startProxy(t, nil)
			d := document()
			d.Revision++
			d.FailureDomains[1].Out = tc.out
			f.configuration.Set(d)
			f.peers.Set(tc.peer)
			got := f.call(t, http.MethodPost, "clearance/1", "")
			assert.Equal(t, dotteroutcome.NotRun, got.outcome)
		})
	}
}

func TestFullDomainForwardsOnlyToFreeSlots(t *testing.T) {
	release := make(chan struct{})
	var running atomic.Int64
	h := backendHost("b1", startBackend(t, func(http.ResponseWriter, *http.Request) {
		running.Add(1)
		<-release
	}), "clearance")
	f := startProxy(t, func(o *Options) { o.Limits.QueueWaitMillis = 10 }, h)
	f.permits.SetSlots(1)
	done := make(chan answer, 1)
	go func() { done <- f.call(t, http.MethodPost, "clearance/1", "") }()
	require.Eventually(t, func() bool { return running.Load() == 1 }, waitTimeout, pollInterval)
	elsewhere := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(dotteroutcome.Header, string(dotteroutcome.Done))
		respondFine(w, r)
	})
	f.peers.Set(peer("full", remoteDomain, elsewhere, 0))
	assert.Equal(t, dotteroutcome.NotRun, f.call(t, http.MethodPost, "clearance/1", "").outcome)
	f.peers.Set(peer("free", remoteDomain, elsewhere, 1))
	assert.Equal(t, "fine", f.call(t, http.MethodPost, "clearance/1", "").body)
	close(release)
	assert.Equal(t, dotteroutcome.Done, (<-done).outcome)
}
