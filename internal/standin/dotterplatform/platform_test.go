package dotterplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterlist"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterstore"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterwire"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterworker"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterfault"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterstandworker"
	"github.com/dotterelusher/dotterelusher/internal/standin/dottertruth"
)

// waitTimeout limits every wait for a condition.
const waitTimeout = 30 * time.Second

func openPlatform(t *testing.T) *Platform {
	t.Helper()
	p, err := Open(Options{
		FailureDomains: []string{"a", "b"}, Workers: 2, WorkerCapacity: dotterroom.Room{MilliCores: 4000, MemoryMB: 4000},
		Services: []string{"echo=fixed:1"}, Backends: 1, Slots: 2, Connections: 4,
		ListLag: 300, UsageInterval: 20, UsageLag: 40, MaxClockOffset: 60_000, Listen: "127.0.0.1:0", Seed: 1,
	})
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

func newStoreClient(p *Platform, caller string) *dotterstore.Client {
	limits := dotterstore.DefaultLimits()
	limits.Timeout = 300
	return dotterstore.New(p.endpoint.Address(), caller, limits, dotterclock.NewSystem())
}

func postControl(t *testing.T, p *Platform, path string, call any) {
	t.Helper()
	var none struct{}
	require.NoError(t, dotterwire.Call(context.Background(), dotterwire.NewClient(), "http://"+p.endpoint.Address()+path, "test", call, &none))
}

func TestStoreErrors(t *testing.T) {
	cases := map[string]struct {
		fault   dotterfault.Store
		write   error
		read    error
		written bool
	}{
		"no fault":    {written: true},
		"refuses":     {fault: dotterfault.Store{Outage: dotterfault.OutageRefuse}, write: dotterelusher.ErrStoreUnavailable, read: dotterelusher.ErrStoreUnavailable},
		"hangs":       {fault: dotterfault.Store{Outage: dotterfault.OutageHang}, write: dotterelusher.ErrStoreIndeterminate, read: dotterelusher.ErrStoreUnavailable},
		"drops":       {fault: dotterfault.Store{Outage: dotterfault.OutageDrop}, write: dotterelusher.ErrStoreIndeterminate, read: dotterelusher.ErrStoreUnavailable},
		"lost answer": {fault: dotterfault.Store{LoseAnswers: 1}, write: dotterelusher.ErrStoreIndeterminate, written: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			p := openPlatform(t)
			client := newStoreClient(p, "a-e1")
			_, err := client.Put(ctx, "old", []byte("1"), 0, "")
			require.NoError(t, err)
			postControl(t, p, dotterfault.PathStore, c.fault)
			_, err = client.Put(ctx, "new", []byte("1"), 0, "")
			require.ErrorIs(t, err, c.write)
			_, err = client.Get(ctx, "old")
			require.ErrorIs(t, err, c.read)
			postControl(t, p, dotterfault.PathStore, dotterfault.Store{})
			_, err = client.Get(ctx, "new")
			assert.Equal(t, c.written, err == nil)
		})
	}
}

func TestStoreNotSent(t *testing.T) {
	p := openPlatform(t)
	client := newStoreClient(p, "a-e1")
	p.endpoint.Close()
	_, err := client.Put(context.Background(), "k", nil, 0, "")
	require.ErrorIs(t, err, dotterelusher.ErrStoreUnavailable)
}

func TestPartitionAndCallCounts(t *testing.T) {
	ctx := context.Background()
	p := openPlatform(t)
	p.list.Set(dotterhost.Host{Name: "b-e1", FailureDomain: "b", Role: dotterhost.RoleEntry, State: dotterhost.StateLive})
	postControl(t, p, dotterfault.PathPartitions, []dotterfault.Partition{{FailureDomains: []string{"b"}, Store: true}})
	_, err := newStoreClient(p, "b-e1").Put(ctx, "k", nil, 0, "")
	require.ErrorIs(t, err, dotterelusher.ErrStoreIndeterminate)
	_, err = newStoreClient(p, "a-e1").Get(ctx, "k")
	require.ErrorIs(t, err, dotterelusher.ErrStoreNotFound, "a call from a partitioned client must have no effect")
	require.Eventually(t, func() bool { return p.recorder.Truth().Store.ByClient["b-e1"]["Put"] == 1 }, waitTimeout, time.Millisecond)
	assert.Equal(t, 1, p.recorder.Truth().Store.ByClient["a-e1"]["Get"])
}

func TestListLags(t *testing.T) {
	p := openPlatform(t)
	list := dotterlist.New(p.endpoint.Address(), "a-e1")
	leaving := func() bool {
		hosts, err := list.Hosts(context.Background())
		require.NoError(t, err)
		for _, h := range hosts {
			if h.Name == "a-echo-1" {
				return !h.Live()
			}
		}
		return false
	}
	at := p.clock.Now()
	postControl(t, p, dotterfault.PathHost, dotterfault.HostCall{Name: "a-echo-1", State: dotterhost.StateLeaving})
	require.Eventually(t, leaving, waitTimeout, 5*time.Millisecond)
	assert.GreaterOrEqual(t, p.clock.Now()-at, dotterclock.Millis(300))
}

// workerTest sends commands to one worker of a platform as shard "a/0" at epoch 1.
type workerTest struct {
	t           *testing.T
	platform    *Platform
	client      *dotterworker.Client
	address     string
	clock       dotterclock.Millis // the worker's clock, from its first report
	incarnation int64              // the worker's incarnation, from its first report
}

func newWorkerTest(t *testing.T) *workerTest {
	p := openPlatform(t)
	w := &workerTest{t: t, platform: p, client: dotterworker.New("a-e1", 500), address: p.workers[0].Host().Address}
	report, err := w.client.Inventory(context.Background(), w.address, "a/0", 1)
	require.NoError(t, err)
	w.clock = report.Clock
	w.incarnation = report.Incarnation
	return w
}

func (w *workerTest) start(task string, edit func(*dotterattempt.Start)) dotterattempt.Report {
	w.t.Helper()
	start := dotterattempt.Start{
		Ref:   dotterattempt.Ref{Shard: "a/0", Task: "a/0/" + dottertask.ID(task), Attempt: 1},
		Epoch: 1, Incarnation: w.incarnation, LatestStart: w.clock + 60_000, Lease: 60_000,
		Size: dotterroom.Room{MilliCores: 2000, MemoryMB: 1000}, Template: "t", RunMillis: 60_000,
	}
	if edit != nil {
		edit(&start)
	}
	report, err := w.client.Start(context.Background(), w.address, start)
	require.NoError(w.t, err)
	return report
}

func (w *workerTest) phase(task string) dotterattempt.Phase {
	report, err := w.client.Renew(context.Background(), w.address, dotterattempt.Renewal{Shard: "a/0", Epoch: 1})
	require.NoError(w.t, err)
	for _, s := range report.Attempts {
		if s.Task == "a/0/"+dottertask.ID(task) {
			return s.Phase
		}
	}
	return ""
}

func TestWorkerRefusals(t *testing.T) {
	cases := map[string]struct {
		edit func(*dotterattempt.Start)
		want string
	}{
		"accepted":  {edit: nil, want: ""},
		"old epoch": {edit: func(s *dotterattempt.Start) { s.Epoch = 0 }, want: dotterstandworker.RefusedEpoch},
		"too late":  {edit: func(s *dotterattempt.Start) { s.LatestStart -= 60_001 }, want: dotterstandworker.RefusedLate},
		"restarted": {edit: func(s *dotterattempt.Start) { s.Incarnation-- }, want: dotterstandworker.RefusedIncarnation},
		"no room":   {edit: func(s *dotterattempt.Start) { s.Size.MemoryMB = 4001 }, want: dotterstandworker.RefusedRoom},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorkerTest(t)
			assert.Equal(t, c.want, w.start("1", c.edit).Refused)
		})
	}
}

func TestWorkerStartTwice(t *testing.T) {
	w := newWorkerTest(t)
	short := func(s *dotterattempt.Start) { s.RunMillis = 1 }
	w.start("1", short)
	require.Eventually(t, func() bool { return w.phase("1") == dotterattempt.PhaseDone }, waitTimeout, 5*time.Millisecond)
	assert.Len(t, w.start("1", short).Attempts, 1, "an ended attempt must be reported until its end is acknowledged")
	renewal := dotterattempt.Renewal{Shard: "a/0", Epoch: 1, Ended: []dotterattempt.Ref{{Shard: "a/0", Task: "a/0/1", Attempt: 1}}}
	_, err := w.client.Renew(context.Background(), w.address, renewal)
	require.NoError(t, err)
	assert.Equal(t, dotterstandworker.RefusedEnded, w.start("1", short).Refused)
	assert.Len(t, w.platform.recorder.Truth().Runs, 1)
}

func TestWorkerLeaseLapses(t *testing.T) {
	w := newWorkerTest(t)
	w.start("1", func(s *dotterattempt.Start) { s.Lease = 50 })
	require.Eventually(t, func() bool { return w.phase("1") == dotterattempt.PhaseLapsed }, waitTimeout, 5*time.Millisecond)
}

func TestWorkerResumes(t *testing.T) {
	w := newWorkerTest(t)
	w.start("1", nil)
	order := dotterattempt.Order{Ref: dotterattempt.Ref{Shard: "a/0", Task: "a/0/1", Attempt: 1}, Epoch: 1}
	time.Sleep(50 * time.Millisecond)
	report, err := w.client.Checkpoint(context.Background(), w.address, order)
	require.NoError(t, err)
	require.Equal(t, dotterattempt.PhaseCheckpointed, report.Attempts[0].Phase)
	require.NotEmpty(t, report.Attempts[0].Checkpoint)
	w.start("1", func(s *dotterattempt.Start) {
		s.Attempt = 2
		s.ResumeFrom = "59999"
	})
	require.Eventually(t, func() bool {
		runs := w.platform.recorder.Truth().Runs
		return runs[1].Phase == dotterattempt.PhaseDone
	}, waitTimeout, 5*time.Millisecond)
}

func TestWorkerInterference(t *testing.T) {
	w := newWorkerTest(t)
	postControl(t, w.platform, dotterfault.PathInterference, []dotterfault.Interference{{Template: "t", Beside: "noisy", Slowdown: 2}})
	w.start("1", nil)
	w.start("2", func(s *dotterattempt.Start) { s.Template = "noisy" })
	require.Eventually(t, func() bool {
		report, err := w.client.Renew(context.Background(), w.address, dotterattempt.Renewal{Shard: "a/0", Epoch: 1})
		require.NoError(t, err)
		for _, u := range report.Usage {
			if u.Task == "a/0/1" && u.Slowdown == 3 {
				return true
			}
		}
		return false
	}, waitTimeout, 5*time.Millisecond)
}

func TestConcurrentAttemptsReported(t *testing.T) {
	w := newWorkerTest(t)
	w.start("1", nil)
	w.start("1", func(s *dotterattempt.Start) { s.Attempt = 2 })
	violations := w.platform.recorder.Truth().Violations
	require.Len(t, violations, 1)
	assert.Equal(t, dottertruth.ViolationTwoAttempts, violations[0].Kind)
}

func TestWorkerRestart(t *testing.T) {
	w := newWorkerTest(t)
	before := w.start("1", nil).Incarnation
	postControl(t, w.platform, dotterfault.PathRestart, dotterfault.Selector{Names: []string{"a-w01"}})
	// The previous client's connection was closed by the restart, so it would
	// correctly report that its command may have taken effect. Use a new client.
	report, err := dotterworker.New("a-e1", 500).Inventory(context.Background(), w.address, "a/0", 1)
	require.NoError(t, err)
	assert.Greater(t, report.Incarnation, before)
	assert.Empty(t, report.Attempts)
	assert.NotZero(t, w.platform.recorder.Truth().Runs[0].EndedAt)
}

func TestBackend(t *testing.T) {
	cases := map[string]struct {
		fault    dotterfault.Backend
		status   int
		complete bool
		ran      int
	}{
		"no fault": {status: 200, complete: true, ran: 1},
		"half":     {fault: dotterfault.Backend{HalfAnswers: 1}, status: 200, ran: 1},
		"fails":    {fault: dotterfault.Backend{Failures: 1}, status: 500, complete: true, ran: 1},
		"refuses":  {fault: dotterfault.Backend{Refusals: 1}, status: 503},
		"late":     {fault: dotterfault.Backend{LateMillis: 20, SlowFactor: 2}, status: 200, complete: true, ran: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := openPlatform(t)
			postControl(t, p, dotterfault.PathBackends, dotterfault.BackendsCall{Fault: c.fault})
			status, body, err := post(dotterwire.NewClient(), p.backends[0].Host().Address, "r1", "question")
			assert.Equal(t, c.status, status)
			assert.Equal(t, c.complete, err == nil && body == "r1\nquestion")
			assert.Len(t, p.recorder.Executions(), c.ran)
		})
	}
}

func TestBackendSilence(t *testing.T) {
	p := openPlatform(t)
	address := p.backends[0].Host().Address
	old := dotterwire.NewClient()
	_, _, err := post(old, address, "r1", "x")
	require.NoError(t, err)
	postControl(t, p, dotterfault.PathSilence, dotterfault.Selector{})
	old.Timeout = 200 * time.Millisecond
	_, _, err = post(old, address, "r2", "x")
	require.Error(t, err, "an open connection must be silenced")
	_, _, err = post(dotterwire.NewClient(), address, "r3", "x")
	require.NoError(t, err, "a new connection must work")
	assert.Len(t, p.recorder.Executions(), 2)
}

func TestBackendOverLimitsReported(t *testing.T) {
	p := openPlatform(t)
	postControl(t, p, dotterfault.PathBackends, dotterfault.BackendsCall{Fault: dotterfault.Backend{SlowFactor: 100}})
	address := p.backends[0].Host().Address
	for range 3 {
		go post(dotterwire.NewClient(), address, "r", "x")
	}
	require.Eventually(t, func() bool {
		truth := p.recorder.Truth()
		return truth.Backends[0].MaxRunning == 3 && len(truth.Violations) == 1
	}, waitTimeout, time.Millisecond)
}

func post(client *http.Client, address, id, body string) (int, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set(dotterwire.HeaderRequest, id)
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

func TestReadyLine(t *testing.T) {
	p := openPlatform(t)
	var line bytes.Buffer
	require.NoError(t, json.NewEncoder(&line).Encode(p.Ready()))
	assert.Len(t, p.Ready().Hosts, 6)
	assert.Equal(t, 1, strings.Count(line.String(), "\n"))
}
