package dottertasks

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottersubmission"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotternaive"
	"github.com/dotterelusher/dotterelusher/internal/platform/dottermemory"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterfault"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterstandworker"
	"github.com/dotterelusher/dotterelusher/internal/standin/dottertruth"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterowner"
)

// cluster runs entry hosts a and b in failure domain d and c in domain e, with two
// workers and two shards in each domain. It implements the configuration and the
// directory of the hosts.
type cluster struct {
	t        *testing.T
	clock    *dotterclock.Manual
	store    *dottermemory.Store
	mesh     *mesh
	recorder *dottertruth.Recorder
	workers  map[string]*dotterstandworker.Worker
	document dotterconfig.Document
}

func newCluster(t *testing.T) *cluster {
	clock := dotterclock.NewManual(1_000_000)
	c := &cluster{
		t: t, clock: clock, store: dottermemory.New(clock), mesh: &mesh{hosts: map[string]*meshHost{}},
		recorder: dottertruth.NewRecorder(clock), workers: map[string]*dotterstandworker.Worker{},
		document: dotterconfig.Document{
			Revision: 1,
			Partners: []dotterconfig.Partner{{Name: "p", SharePercent: 100}},
			Teams:    []dotterconfig.Team{{Name: "team", Partner: "p", Weight: 1}},
			Templates: []dotterconfig.Template{
				{Name: "again", Team: "team", Kind: dotterconfig.KindTask, Repeatable: true, RunMillis: 2000, Size: dotterroom.Room{MilliCores: 1000, MemoryMB: 1000}},
				{Name: "once", Team: "team", Kind: dotterconfig.KindTask, RunMillis: 2000, Size: dotterroom.Room{MilliCores: 1000, MemoryMB: 1000}},
			},
			FailureDomains: []dotterconfig.FailureDomain{{Name: "d", Shards: 2}, {Name: "e", Shards: 2}},
		},
	}
	for _, domain := range []string{"d", "e"} {
		for rack := range 2 {
			c.addWorker(domain, rack)
		}
	}
	for name, domain := range map[string]string{"a": "d", "b": "d", "c": "e"} {
		c.addHost(name, domain)
	}
	for _, h := range c.mesh.hosts {
		h.service.Start()
		t.Cleanup(h.service.Stop)
	}
	return c
}

func (c *cluster) addWorker(domain string, rack int) {
	name := fmt.Sprintf("%s-w%d", domain, rack)
	host := dotterhost.Host{
		Name: name, Address: name, FailureDomain: domain, Rack: fmt.Sprintf("%s-r%d", domain, rack), Role: dotterhost.RoleWorker,
		State: dotterhost.StateLive, Incarnation: 1, Capacity: dotterroom.Room{MilliCores: 4000, MemoryMB: 4000},
	}
	c.workers[name] = dotterstandworker.New(host, c.clock, 5, dotterstandworker.Options{UsageInterval: 1000, UsageLag: 1000},
		dotterstandworker.NewInterference(), c.recorder, dotterfault.NewPartitions(func(string) string { return "" }))
}

func (c *cluster) addHost(name, domain string) {
	h := &meshHost{mesh: c.mesh, peer: dotterelusher.Peer{Name: name, FailureDomain: domain}, handlers: map[string]dotterelusher.PeerHandler{}}
	c.mesh.hosts[name] = h
	h.service = New(Options{
		Host: name, FailureDomain: domain, Incarnation: 1, Store: hostStore{c.store, h}, Peers: h, Configuration: c, Directory: c,
		Workers: hostWorkers{c, h}, Clock: c.clock, Logger: zap.NewNop(), Registerer: prometheus.NewRegistry(),
		NewPlacer: func() dotterelusher.Placer { return dotternaive.New(dotternaive.RuleFirstFit) },
		Limits:    dotterowner.DefaultLimits(), Timing: DefaultTiming(),
	})
}

// Hosts returns the workers.
func (c *cluster) Hosts() []dotterhost.Host {
	var hosts []dotterhost.Host
	for _, domain := range []string{"d", "e"} {
		for rack := range 2 {
			name := fmt.Sprintf("%s-w%d", domain, rack)
			host := c.workers[name].Host()
			host.Address = name
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Changed returns nil, so the configuration's changes are not signalled.
func (c *cluster) Changed() <-chan struct{} { return nil }

// Current returns the configuration.
func (c *cluster) Current() (dotterconfig.Document, bool) {
	c.mesh.mu.Lock()
	defer c.mesh.mu.Unlock()
	return c.document, true
}

// StartsAllowed always permits starts.
func (c *cluster) StartsAllowed(string) dotterelusher.StartPermission {
	return dotterelusher.StartPermission{Allowed: true}
}

func (c *cluster) setOut(domain string, out bool) {
	c.mesh.mu.Lock()
	defer c.mesh.mu.Unlock()
	domains := append([]dotterconfig.FailureDomain(nil), c.document.FailureDomains...)
	for i := range domains {
		if domains[i].Name == domain {
			domains[i].Out = out
		}
	}
	c.document.FailureDomains = domains
	c.document.Revision++
}

func (c *cluster) kill(host string) {
	c.mesh.mu.Lock()
	defer c.mesh.mu.Unlock()
	c.mesh.hosts[host].dead = true
}

func (c *cluster) service(host string) *Service {
	return c.mesh.hosts[host].service
}

// hostWorkers is the worker client of a host; its calls fail if the host is dead.
type hostWorkers struct {
	cluster *cluster
	host    *meshHost
}

func (w hostWorkers) do(address string, call func(*dotterstandworker.Worker) dotterattempt.Report) (dotterattempt.Report, error) {
	if (hostStore{host: w.host}).dead() {
		return dotterattempt.Report{}, dotterelusher.ErrWorkerUnreachable
	}
	return call(w.cluster.workers[address]), nil
}

// Start implements dotterelusher.WorkerClient.
func (w hostWorkers) Start(_ context.Context, address string, start dotterattempt.Start) (dotterattempt.Report, error) {
	return w.do(address, func(s *dotterstandworker.Worker) dotterattempt.Report { return s.Start(start) })
}

// Renew implements dotterelusher.WorkerClient.
func (w hostWorkers) Renew(_ context.Context, address string, renewal dotterattempt.Renewal) (dotterattempt.Report, error) {
	return w.do(address, func(s *dotterstandworker.Worker) dotterattempt.Report { return s.Renew(renewal) })
}

// Checkpoint implements dotterelusher.WorkerClient.
func (w hostWorkers) Checkpoint(_ context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error) {
	return w.do(address, func(s *dotterstandworker.Worker) dotterattempt.Report { return s.Checkpoint(order) })
}

// Throttle implements dotterelusher.WorkerClient.
func (w hostWorkers) Throttle(_ context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error) {
	return w.do(address, func(s *dotterstandworker.Worker) dotterattempt.Report { return s.Throttle(order) })
}

// Stop implements dotterelusher.WorkerClient.
func (w hostWorkers) Stop(_ context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error) {
	return w.do(address, func(s *dotterstandworker.Worker) dotterattempt.Report { return s.Stop(order) })
}

// Inventory implements dotterelusher.WorkerClient.
func (w hostWorkers) Inventory(_ context.Context, address, shard string, epoch int64) (dotterattempt.Report, error) {
	return w.do(address, func(s *dotterstandworker.Worker) dotterattempt.Report { return s.Inventory(shard, epoch) })
}

// advanceUntil advances the manual clock until done returns true. It fails the test
// if that does not happen within limit.
func (c *cluster) advanceUntil(limit dotterclock.Millis, done func() bool) {
	c.t.Helper()
	for end := c.clock.Now() + limit; c.clock.Now() < end; {
		if done() {
			return
		}
		c.clock.Advance(10)
		time.Sleep(100 * time.Microsecond)
	}
	require.True(c.t, done(), "condition not met after %d ms", limit)
}

// submit submits through host, and again as long as the submission is refused.
func (c *cluster) submit(host string, submissions ...dottersubmission.Submission) []dottertask.Task {
	c.t.Helper()
	type result struct {
		tasks []dottertask.Task
		err   error
	}
	results := make(chan result, 1)
	try := func() {
		tasks, err := c.service(host).Submit(context.Background(), submissions)
		results <- result{tasks, err}
	}
	go try()
	var got result
	c.advanceUntil(60*dotterclock.Second, func() bool {
		select {
		case got = <-results:
			if got.err != nil {
				require.ErrorIs(c.t, got.err, dotterelusher.ErrTaskRefused)
				go try()
			}
			return got.err == nil
		default:
			return false
		}
	})
	return got.tasks
}

func (c *cluster) allDone(host string, tasks []dottertask.Task) func() bool {
	return func() bool {
		for _, t := range tasks {
			got, err := c.service(host).Get(context.Background(), t.ID)
			if err != nil || got.State != dottertask.StateDone {
				return false
			}
		}
		return true
	}
}

func repeat(n int, sub dottersubmission.Submission) []dottersubmission.Submission {
	subs := make([]dottersubmission.Submission, n)
	for i := range subs {
		subs[i] = sub
	}
	return subs
}

func (c *cluster) checkNoViolations() {
	c.t.Helper()
	require.Empty(c.t, c.recorder.Truth().Violations)
}

// Every host must return every task, whichever host accepted it, and the usage of
// all shards.
func TestEveryHostServesEveryTask(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	tasks := c.submit("a", repeat(10, dottersubmission.Submission{Template: "again"})...)
	tasks = append(tasks, c.submit("c", repeat(10, dottersubmission.Submission{Template: "once"})...)...)
	for _, host := range []string{"a", "b", "c"} {
		c.advanceUntil(120*dotterclock.Second, c.allDone(host, tasks))
	}
	usage, err := c.service("b").Usage(context.Background())
	require.NoError(t, err)
	require.Empty(t, usage.Missing)
	require.Len(t, usage.Rows, 1)
	require.Equal(t, int64(20), usage.Rows[0].Attempts)
	require.InDelta(t, 40, usage.Rows[0].CoreSeconds, 5)
	c.checkNoViolations()
}

// The same key submitted through different hosts must not create a second task.
func TestIdempotencyKeyHasOneTaskInPool(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.submit("a", dottersubmission.Submission{Template: "once"})
	c.submit("c", dottersubmission.Submission{Template: "once"})
	for n := range 6 {
		sub := dottersubmission.Submission{Template: "once", Key: fmt.Sprint("k", n)}
		first := c.submit("a", sub)[0].ID
		require.Equal(t, first, c.submit("b", sub)[0].ID)
		require.Equal(t, first, c.submit("c", sub)[0].ID)
	}
}

// TestRepeatedMixedSubmissionAcceptsKeylessTaskOnce guards against a call of which a part
// without a key is accepted before a part with a key fails: the repetition that its caller
// is told to make would accept the first part again.
func TestRepeatedMixedSubmissionAcceptsKeylessTaskOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.submit("a", dottersubmission.Submission{Template: "once", Key: "warm-up"}) // all layouts are known
	s := c.service("a")
	document, _ := c.Current()
	tasks := []dottertask.Task{{Team: "team"}, {Team: "team", Key: "k1"}, {Team: "team"}, {Team: "team", Key: "k2"}, {Team: "team", Key: "k3"}}
	parts, err := s.partition(document, tasks)
	require.NoError(t, err)
	for i, p := range parts {
		require.Equal(t, i == len(parts)-1, p.shard == "", "part %d of %v", i, parts)
	}
	require.Equal(t, []int{0, 2}, parts[len(parts)-1].indexes)
}

func TestSubmissionsThatCanNeverRunAreInvalid(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	tests := map[string]dottersubmission.Submission{
		"too large":        {Template: "again", Size: dotterroom.Room{MilliCores: 99_000, MemoryMB: 1}},
		"unknown template": {Template: "nothing"},
		"negative size":    {Template: "again", Size: dotterroom.Room{MilliCores: -1, MemoryMB: 1}},
	}
	for name, sub := range tests {
		_, err := c.service("a").Submit(context.Background(), []dottersubmission.Submission{sub})
		require.ErrorIs(t, err, dotterelusher.ErrTaskInvalid, name)
	}
}

// Tasks must be completed when their shards' hosts die, also when the last host of
// a failure domain dies and a host of another domain must claim the shards.
func TestKilledHostsShardsAreTakenOver(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	var tasks []dottertask.Task
	for range 10 {
		tasks = append(tasks, c.submit("a", repeat(4, dottersubmission.Submission{Template: "once"})...)...)
	}
	c.kill("a")
	c.advanceUntil(180*dotterclock.Second, c.allDone("b", tasks))
	c.kill("b") // the last host of its failure domain
	c.advanceUntil(60*dotterclock.Second, func() bool { return len(c.service("c").Owned()) == 4 })
	c.advanceUntil(60*dotterclock.Second, c.allDone("c", tasks))
	c.checkNoViolations()
}

// Tasks of a failure domain that is out must run elsewhere. No attempt may start
// there later than three seconds after the change, and the domain must accept
// tasks again afterwards.
func TestTasksLeaveDomainThatIsOut(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	tasks := c.submit("a", repeat(60, dottersubmission.Submission{Template: "again"})...)
	tasks = append(tasks, c.submit("a", repeat(20, dottersubmission.Submission{Template: "once"})...)...)
	c.setOut("d", true)
	out := c.clock.Now()
	c.advanceUntil(300*dotterclock.Second, c.allDone("b", tasks))
	for _, r := range c.recorder.Truth().Runs {
		if strings.HasPrefix(r.Worker, "d-") {
			require.LessOrEqual(t, r.StartedAt, out+3*dotterclock.Second, "%s on %s", r.Task, r.Worker)
		}
	}
	c.checkNoViolations()
	c.setOut("d", false)
	back := c.submit("a", repeat(4, dottersubmission.Submission{Template: "again"})...)
	c.advanceUntil(60*dotterclock.Second, c.allDone("a", back))
}

// A host that is stopped must release its shards at once, so that another host need
// not wait for the store lease to expire.
func TestStoppedHostHandsItsShardsOver(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	tasks := c.submit("a", repeat(20, dottersubmission.Submission{Template: "once"})...)
	stopped := make(chan struct{})
	go func() { c.service("a").Stop(); close(stopped) }()
	c.advanceUntil(20*dotterclock.Second, func() bool {
		select {
		case <-stopped:
			return true
		default:
			return false
		}
	})
	c.kill("a")
	before := c.clock.Now()
	c.advanceUntil(4*dotterclock.Second, func() bool { return len(c.service("b").Owned()) == 2 })
	require.Less(t, c.clock.Now()-before, DefaultTiming().StoreLeaseDuration, "the shards were taken over only after the lease expired")
	c.advanceUntil(120*dotterclock.Second, c.allDone("b", tasks))
	c.checkNoViolations()
}

// Tasks submitted in one call go to one shard. They must not all wait there while
// the workers of other shards are idle.
func TestWaitingTasksMoveToIdleShards(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	long := dottersubmission.Submission{Template: "once", RunMillis: 8000}
	tasks := c.submit("a", repeat(48, long)...)
	c.advanceUntil(200*dotterclock.Second, c.allDone("c", tasks))
	workers := map[string]bool{}
	for _, r := range c.recorder.Truth().Runs {
		workers[r.Worker] = true
	}
	require.Len(t, workers, 4, "not every shard's worker ran tasks of a call that went to one shard")
	c.checkNoViolations()
}

// Cancellation must reach tasks that have moved from the shard that accepted them.
func TestCancellationFollowsMovedTasks(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	tasks := c.submit("a", repeat(40, dottersubmission.Submission{Template: "once", RunMillis: 600_000})...)
	c.setOut("d", true)
	c.advanceUntil(60*dotterclock.Second, func() bool { return c.countState(tasks, dottertask.StateMoved) == 0 && c.service("c").queued() >= 10 })
	ids := make([]dottertask.ID, len(tasks))
	for i, task := range tasks {
		ids[i] = task.ID
	}
	cancelled := make(chan int, 1)
	go func() {
		n, _ := c.service("b").Cancel(context.Background(), ids)
		cancelled <- n
	}()
	c.advanceUntil(120*dotterclock.Second, func() bool { return c.countState(tasks, dottertask.StateCancelled) == len(tasks) })
	require.Equal(t, len(tasks), <-cancelled)
}

func (s *Service) queued() int {
	sum := 0
	for _, status := range s.Shards() {
		sum += status.Queued
	}
	return sum
}

func (c *cluster) countState(tasks []dottertask.Task, state dottertask.State) int {
	count := 0
	for _, t := range tasks {
		if got, err := c.service("b").Get(context.Background(), t.ID); err == nil && got.State == state {
			count++
		}
	}
	return count
}
