package dotterproxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

func TestDrainWaitsForRequestsInProgress(t *testing.T) {
	const count = 12 // more than the slots: some wait in the queue
	release := make(chan struct{})
	var running atomic.Int64
	address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		running.Add(1)
		<-release
		respondFine(w, r)
	})
	f := startProxy(t, func(o *Options) { o.Limits.QueueWaitMillis = 10_000 }, backendHost("b1", address, "clearance"))
	answers := make(chan answer, count)
	var callers sync.WaitGroup
	for range count {
		callers.Go(func() {
			answers <- f.call(t, http.MethodPost, "clearance/1", "", dotterrequest.HeaderTimeout, "60000")
		})
	}
	service, ok := f.proxy.services.Service("clearance")
	require.True(t, ok)
	require.Eventually(t, func() bool { return running.Load() == 8 && service.Waiting() == count-8 }, waitTimeout, pollInterval)

	over, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, f.proxy.Drain(over), ErrNotDrained)
	refused := f.call(t, http.MethodPost, "clearance/1", "")
	assert.Equal(t, dotteroutcome.NotRun, refused.outcome)
	assert.Equal(t, dotterrequest.ReasonDraining, refused.reason(t))
	assert.NotEmpty(t, refused.header.Get("Retry-After"))

	drained := make(chan error, 1)
	go func() { drained <- f.proxy.Drain(context.Background()) }()
	close(release)
	require.NoError(t, <-drained)
	callers.Wait()
	for range count {
		got := <-answers
		assert.Equal(t, dotteroutcome.Done, got.outcome)
		assert.Equal(t, "fine", got.body)
	}
}
