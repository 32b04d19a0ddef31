package dottergenerator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/tool/dotterreport"
)

func run(t *testing.T, bounds Bounds, streams ...Stream) dotterreport.Report {
	t.Helper()
	recorder := dotterreport.NewRecorder()
	require.NoError(t, New(bounds, recorder).Run(context.Background(), streams...))
	return recorder.Report()
}

func TestArrivalsDontWaitForAnswers(t *testing.T) {
	release := make(chan struct{})
	var sent atomic.Int64
	held := Stream{Kind: "Held", PerSecond: 1000, Send: func(context.Context, int) string {
		if sent.Add(1) == 50 {
			close(release)
		}
		<-release
		return "Done"
	}}
	report := run(t, Bounds{Millis: 60_000, Requests: 50, Outstanding: 50, Seed: 1}, held)
	row, ok := report.Row("Held", "Done")
	require.True(t, ok)
	assert.EqualValues(t, 50, row.Count)
}

func TestLatencyIsMeasuredFromDueTime(t *testing.T) {
	slow := Stream{Kind: "Slow", PerSecond: 1000, Send: func(context.Context, int) string {
		time.Sleep(20 * time.Millisecond)
		return "Done"
	}}
	report := run(t, Bounds{Millis: 60_000, Requests: 100, Outstanding: 1000, Seed: 1}, slow)
	row, _ := report.Row("Slow", "Done")
	assert.GreaterOrEqual(t, row.P50Millis, 20.0)
}

func TestRunIsBounded(t *testing.T) {
	done := func(context.Context, int) string { return "Done" }
	report := run(t, Bounds{Millis: 60_000, Requests: 10, Outstanding: 10, Seed: 1}, Stream{Kind: "A", PerSecond: 1e5, Send: done})
	assert.EqualValues(t, 10, report.Generator.Count)

	ctx, cancel := context.WithCancel(context.Background())
	stop := Stream{Kind: "A", PerSecond: 1000, Send: func(context.Context, int) string {
		cancel()
		return "Done"
	}}
	recorder := dotterreport.NewRecorder()
	require.NoError(t, New(Bounds{Millis: 3_600_000, Requests: 1 << 40, Outstanding: 1 << 40}, recorder).Run(ctx, stop))
}

func TestOutcomesSeenByCaller(t *testing.T) {
	tests := map[string]struct {
		answer http.HandlerFunc
		want   string
	}{
		"outcome": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Dotter-Outcome", "NotRun")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, "NotRun"},
		"plain":  {func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }, "Done"},
		"failed": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }, OutcomeFailed},
		"wrong":  {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Dotter-Request", "other") }, OutcomeWrong},
		"broken": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, OutcomeNoAnswer},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(tc.answer)
			defer server.Close()
			caller := NewCaller("run", 10_000, 1)
			defer caller.Close()
			targets := []string{strings.TrimPrefix(server.URL, "http://")}
			for _, send := range []Sender{caller.Direct(targets, "/", 10), caller.Service(targets, "t", "/", 10, true), caller.Tasks(targets, "t")} {
				assert.Equal(t, tc.want, send(context.Background(), 1))
			}
		})
	}
}
