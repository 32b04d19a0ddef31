package dotterowner

import (
	"context"
	"fmt"
	"sync"
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
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotternaive"
	"github.com/dotterelusher/dotterelusher/internal/platform/dottermemory"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershard"
)

// fakeAttempt is an attempt on a fake worker.
type fakeAttempt struct {
	status    dotterattempt.Status
	doneAt    dotterclock.Millis // when it completes
	leaseEnd  dotterclock.Millis // when its lease expires
	startedAt dotterclock.Millis
}

// fakeWorker implements the worker's side of the protocol in dotterattempt, on the
// pool's clock.
type fakeWorker struct {
	host             dotterhost.Host
	epochs           map[string]int64
	attempts         map[dotterattempt.Ref]*fakeAttempt
	dead             bool // unreachable and runs nothing
	disconnected     bool // unreachable, but attempts keep running
	lostStartAnswers int  // number of next starts that take effect but whose answers are lost
	refuseStarts     bool // refuses every start
	failAttempts     bool // every attempt fails immediately
}

// fakePool fakes the platform: store, host list, configuration and workers. It
// records what actually ran.
type fakePool struct {
	t      testing.TB
	owners []*Owner // owners that settle waits for after each step of the clock
	clock  *dotterclock.Manual
	store  *dottermemory.Store

	mu                     sync.Mutex
	workers                map[string]*fakeWorker // by address
	hosts                  []dotterhost.Host
	running                map[dottertask.ID]int
	starts                 map[dottertask.ID]int
	deadly                 func(dottertask.ID) bool // tasks that end their worker's process as they start; nil: none
	resumedFrom            map[dottertask.ID][]string
	finished               map[dottertask.ID]int
	ranCoreMillis          int64 // CPU time of the attempts that have stopped
	overlaps               []string
	overcommitted          []string
	delayedStarts          []dotterattempt.Start // starts held back, to be delivered later
	delayStarts            bool                  // hold back the next starts
	clockJump, clockOffset dotterclock.Millis    // the next start advances the workers' clocks by clockJump; clockOffset is the sum so far
	intermediateOwner      bool                  // another owner claims the shard between the first and the second
	outageBeforeTakeover   dotterclock.Millis    // how long the store is down before the takeover
	document               dotterconfig.Document
	allowed                dotterelusher.StartPermission
}

var workerCapacity = dotterroom.Room{MilliCores: 4000, MemoryMB: 4000}

func newPool(t testing.TB, workers int) *fakePool {
	clock := dotterclock.NewManual(1_000_000)
	p := &fakePool{
		t: t, clock: clock, store: dottermemory.New(clock), workers: map[string]*fakeWorker{},
		running: map[dottertask.ID]int{}, starts: map[dottertask.ID]int{}, finished: map[dottertask.ID]int{},
		resumedFrom: map[dottertask.ID][]string{}, allowed: dotterelusher.StartPermission{Allowed: true},
		document: dotterconfig.Document{
			Revision: 1, Partners: []dotterconfig.Partner{{Name: "p", SharePercent: 100}},
			Teams:          []dotterconfig.Team{{Name: "team", Partner: "p", Weight: 1}},
			FailureDomains: []dotterconfig.FailureDomain{{Name: "d"}, {Name: "e"}},
		},
	}
	for i := range workers {
		p.addWorker("d", i)
	}
	return p
}

func (p *fakePool) addWorker(domain string, number int) *fakeWorker {
	name := fmt.Sprintf("%s-w%d", domain, number)
	w := &fakeWorker{
		host: dotterhost.Host{
			Name: name, Address: name, FailureDomain: domain, Rack: "r", Role: dotterhost.RoleWorker,
			State: dotterhost.StateLive, Incarnation: 1, Capacity: workerCapacity,
		},
		epochs: map[string]int64{}, attempts: map[dotterattempt.Ref]*fakeAttempt{},
	}
	p.workers[name] = w
	p.hosts = append(p.hosts, w.host)
	return w
}

// Hosts returns the host list.
func (p *fakePool) Hosts() []dotterhost.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]dotterhost.Host(nil), p.hosts...)
}

// Changed returns nil, so that owners read the host list at every sync interval.
func (p *fakePool) Changed() <-chan struct{} { return nil }

// Current returns the configuration.
func (p *fakePool) Current() (dotterconfig.Document, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.document, true
}

// StartsAllowed returns the permission that the test set.
func (p *fakePool) StartsAllowed(string) dotterelusher.StartPermission {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allowed
}

func (p *fakePool) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func (p *fakePool) editDocument(change func(*dotterconfig.Document)) {
	p.set(func() {
		p.document.Revision++
		change(&p.document)
	})
}

func (p *fakePool) unlist(name string) {
	p.set(func() {
		var kept []dotterhost.Host
		for _, h := range p.hosts {
			if h.Name != name {
				kept = append(kept, h)
			}
		}
		p.hosts = kept
	})
}

// restart replaces a worker's process; its attempts and epochs are lost.
func (p *fakePool) restart(name string) {
	p.set(func() { p.replaceProcess(p.workers[name]) })
}

func (p *fakePool) replaceProcess(w *fakeWorker) {
	for _, a := range w.attempts {
		p.stopRunning(a)
	}
	w.attempts = map[dotterattempt.Ref]*fakeAttempt{}
	w.epochs = map[string]int64{}
	w.host.Incarnation++
	w.dead = false
}

func (p *fakePool) kill(name string) {
	p.set(func() {
		w := p.workers[name]
		for _, a := range w.attempts {
			p.stopRunning(a)
		}
		w.attempts = map[dotterattempt.Ref]*fakeAttempt{}
		w.dead = true
	})
}

func (p *fakePool) stopRunning(a *fakeAttempt) {
	if a.status.Phase == dotterattempt.PhaseRunning {
		a.status.RanMillis = p.clock.Now() - a.startedAt
		p.running[a.status.Task]--
		p.ranCoreMillis += a.status.Size.MilliCores * int64(a.status.RanMillis)
	}
}

// updateAttempts ends the attempts that have completed or whose leases have expired
// by now.
func (p *fakePool) updateAttempts() {
	now := p.clock.Now()
	for _, w := range p.workers {
		for _, a := range w.attempts {
			if a.status.Phase != dotterattempt.PhaseRunning {
				continue
			}
			switch {
			case now >= a.leaseEnd:
				p.stopRunning(a)
				a.status.Phase = dotterattempt.PhaseLapsed
			case now >= a.doneAt:
				p.stopRunning(a)
				a.status.Phase = dotterattempt.PhaseDone
				p.finished[a.status.Task]++
			}
		}
	}
}

// acceptCall checks and raises the epoch. It returns the worker and its report, which
// may be a refusal, or an error if the worker is unreachable.
func (p *fakePool) acceptCall(address, shard string, epoch int64) (*fakeWorker, dotterattempt.Report, error) {
	p.updateAttempts()
	w, ok := p.workers[address]
	if !ok || w.dead || w.disconnected {
		return nil, dotterattempt.Report{}, dotterelusher.ErrWorkerUnreachable
	}
	refused := ""
	if epoch < w.epochs[shard] {
		refused = "older epoch"
	}
	w.epochs[shard] = max(epoch, w.epochs[shard])
	return w, p.reportOf(w, shard, refused), nil
}

func (p *fakePool) reportOf(w *fakeWorker, shard, refused string) dotterattempt.Report {
	report := dotterattempt.Report{
		Worker: w.host.Name, Incarnation: w.host.Incarnation, Clock: p.clock.Now() + 77 + p.clockOffset, Epoch: w.epochs[shard], Refused: refused,
	}
	for ref, a := range w.attempts {
		if ref.Shard == shard {
			report.Attempts = append(report.Attempts, a.status)
		}
	}
	return report
}

// Start runs an attempt.
func (p *fakePool) Start(_ context.Context, address string, start dotterattempt.Start) (dotterattempt.Report, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.delayStarts {
		p.delayedStarts = append(p.delayedStarts, start)
		return dotterattempt.Report{}, dotterelusher.ErrWorkerIndeterminate
	}
	return p.start(address, start)
}

func (p *fakePool) start(address string, start dotterattempt.Start) (dotterattempt.Report, error) {
	w, report, err := p.acceptCall(address, start.Shard, start.Epoch)
	if err != nil || report.Refused != "" {
		return report, err
	}
	if w.refuseStarts {
		return p.reportOf(w, start.Shard, "refuses everything"), nil
	}
	if start.Incarnation != w.host.Incarnation {
		return p.reportOf(w, start.Shard, "another incarnation"), nil
	}
	now := p.clock.Now() + 77 + p.clockOffset + p.clockJump
	p.clockOffset, p.clockJump = p.clockOffset+p.clockJump, 0
	if _, known := w.attempts[start.Ref]; !known && now > start.LatestStart {
		return p.reportOf(w, start.Shard, "late"), nil
	}
	if _, known := w.attempts[start.Ref]; !known {
		p.run(w, start)
	}
	if p.deadly != nil && p.deadly(start.Task) {
		p.replaceProcess(w)
		return dotterattempt.Report{}, dotterelusher.ErrWorkerIndeterminate
	}
	if w.lostStartAnswers > 0 {
		w.lostStartAnswers--
		return dotterattempt.Report{}, dotterelusher.ErrWorkerIndeterminate
	}
	return p.reportOf(w, start.Shard, ""), nil
}

func (p *fakePool) run(w *fakeWorker, start dotterattempt.Start) {
	now := p.clock.Now()
	a := &fakeAttempt{
		status:    dotterattempt.Status{Ref: start.Ref, Phase: dotterattempt.PhaseRunning, Size: start.Size},
		startedAt: now, doneAt: now + start.RunMillis, leaseEnd: now + start.Lease,
	}
	w.attempts[start.Ref] = a
	p.starts[start.Task]++
	p.resumedFrom[start.Task] = append(p.resumedFrom[start.Task], start.ResumeFrom)
	p.running[start.Task]++
	if p.running[start.Task] > 1 {
		p.overlaps = append(p.overlaps, string(start.Task))
	}
	var held dotterroom.Room
	for _, other := range w.attempts {
		if other.status.Phase == dotterattempt.PhaseRunning {
			held = held.Add(other.status.Size)
		}
	}
	if !held.Fits(w.host.Capacity) {
		p.overcommitted = append(p.overcommitted, w.host.Name)
	}
	if w.failAttempts {
		p.stopRunning(a)
		a.status.Phase = dotterattempt.PhaseFailed
	}
}

// Renew renews leases and deletes acknowledged ends.
func (p *fakePool) Renew(_ context.Context, address string, renewal dotterattempt.Renewal) (dotterattempt.Report, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, report, err := p.acceptCall(address, renewal.Shard, renewal.Epoch)
	if err != nil || report.Refused != "" {
		return report, err
	}
	for _, ref := range renewal.Attempts {
		if a, ok := w.attempts[ref]; ok && a.status.Phase == dotterattempt.PhaseRunning {
			a.leaseEnd = p.clock.Now() + renewal.Lease
		}
	}
	for _, ref := range renewal.Ended {
		if a, ok := w.attempts[ref]; ok && a.status.Phase != dotterattempt.PhaseRunning {
			delete(w.attempts, ref)
		}
	}
	return p.reportOf(w, renewal.Shard, ""), nil
}

// Checkpoint saves the attempt's progress and ends it.
func (p *fakePool) Checkpoint(_ context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error) {
	return p.finish(address, order, dotterattempt.PhaseCheckpointed, fmt.Sprintf("after-%d", order.Attempt))
}

// Stop ends the attempt.
func (p *fakePool) Stop(_ context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error) {
	return p.finish(address, order, dotterattempt.PhaseStopped, "")
}

func (p *fakePool) finish(address string, order dotterattempt.Order, phase dotterattempt.Phase, checkpoint string) (dotterattempt.Report, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, report, err := p.acceptCall(address, order.Shard, order.Epoch)
	if err != nil || report.Refused != "" {
		return report, err
	}
	if a, ok := w.attempts[order.Ref]; ok && a.status.Phase == dotterattempt.PhaseRunning {
		p.stopRunning(a)
		a.status.Phase = phase
		a.status.Checkpoint = checkpoint
	}
	return p.reportOf(w, order.Shard, ""), nil
}

// Throttle does nothing.
func (p *fakePool) Throttle(_ context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, report, err := p.acceptCall(address, order.Shard, order.Epoch)
	return report, err
}

// Inventory raises the epoch and reports the worker's attempts.
func (p *fakePool) Inventory(_ context.Context, address, shard string, epoch int64) (dotterattempt.Report, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, report, err := p.acceptCall(address, shard, epoch)
	return report, err
}

var shardD = dottershard.Name{FailureDomain: "d", Number: 0}

// noHandoff is a Handoff without other shards.
type noHandoff struct{}

// Targets returns nothing.
func (noHandoff) Targets(dottershard.Name) []string { return nil }

// IdleCapacity returns nothing.
func (noHandoff) IdleCapacity(dottershard.Name) map[string]dotterroom.Room { return nil }

// Adopt refuses.
func (noHandoff) Adopt(context.Context, string, []dotterrecord.Entry) error { return ErrRefused }

// Cancel refuses.
func (noHandoff) Cancel(context.Context, string, []dottertask.ID) error { return ErrRefused }

func (p *fakePool) options(writer string) Options {
	limits := DefaultLimits()
	limits.RingSegments = 64
	return Options{
		Shard: shardD, Writer: writer, Store: p.store, Clock: p.clock, Configuration: p, Directory: p, Workers: p,
		Placer: dotternaive.New(dotternaive.RuleFirstFit), Handoff: noHandoff{},
		OwnsWorker: func(w dotterhost.Host) bool { return w.FailureDomain == "d" },
		PoolUse:    func() PoolUse { return PoolUse{} },
		Logger:     zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()), Limits: limits,
	}
}

func (p *fakePool) open(options Options) *Owner {
	o, err := Open(context.Background(), options)
	require.NoError(p.t, err)
	p.owners = append(p.owners, o)
	return o
}

const (
	// minSettleRounds is the minimum number of queries to an owner's loop after each
	// step of the clock, so that the loop processes all due work even on a busy machine.
	minSettleRounds = 3
	// maxSettleTime bounds the wait for replies of the fakes to an owner.
	maxSettleTime = 5 * time.Millisecond
)

// settle waits until the owners have processed what is due, for at most
// maxSettleTime each.
func (p *fakePool) settle() {
	time.Sleep(20 * time.Microsecond)
	for _, o := range p.owners {
		started := time.Now()
		for rounds := 0; rounds < minSettleRounds || time.Since(started) < maxSettleTime; rounds++ {
			idle := false
			if o.runOnLoop(context.Background(), func() { idle = !o.inFlight() }) != nil {
				break
			}
			if idle && rounds >= minSettleRounds {
				break
			}
		}
	}
}

// inFlight reports whether a call to a worker or the store is in flight.
func (o *Owner) inFlight() bool {
	for _, w := range o.workers {
		if w.callInFlight {
			return true
		}
	}
	return o.writing != nil && !o.writing.uncertain
}

// advanceUntil advances virtual time in steps until done holds, for at most limit.
func (p *fakePool) advanceUntil(limit dotterclock.Millis, done func() bool) {
	p.t.Helper()
	for end := p.clock.Now() + limit; p.clock.Now() < end; {
		if done() {
			return
		}
		p.advanceBy(20)
	}
	require.True(p.t, done(), "condition not met within %d ms", limit)
}

// advanceBy advances virtual time by duration in small steps.
func (p *fakePool) advanceBy(duration dotterclock.Millis) {
	for ; duration > 0; duration -= 20 {
		p.clock.Advance(20)
		p.settle()
	}
}

// submit submits tasks and returns their IDs once they are committed.
func (p *fakePool) submit(o *Owner, tasks ...dottertask.Task) []dottertask.ID {
	p.t.Helper()
	accepted, err := p.trySubmit(o, tasks...)
	require.NoError(p.t, err)
	ids := make([]dottertask.ID, len(accepted))
	for i, t := range accepted {
		ids[i] = t.ID
	}
	return ids
}

func (p *fakePool) trySubmit(o *Owner, tasks ...dottertask.Task) ([]dottertask.Task, error) {
	p.t.Helper()
	type result struct {
		tasks []dottertask.Task
		err   error
	}
	results := make(chan result, 1)
	go func() {
		accepted, err := o.Submit(context.Background(), tasks)
		results <- result{accepted, err}
	}()
	var got result
	p.advanceUntil(20*dotterclock.Second, func() bool {
		select {
		case got = <-results:
			return true
		default:
			return false
		}
	})
	return got.tasks, got.err
}

func (p *fakePool) state(o *Owner, id dottertask.ID) dottertask.State {
	task, _, err := o.Get(context.Background(), id)
	require.NoError(p.t, err)
	return task.State
}

// untilState advances virtual time until the task is in state.
func (p *fakePool) untilState(o *Owner, id dottertask.ID, state dottertask.State, limit dotterclock.Millis) {
	p.t.Helper()
	p.advanceUntil(limit, func() bool { return p.state(o, id) == state })
}

// checkInvariants checks that no task ever ran twice at the same time and no worker
// ever exceeded its capacity.
func (p *fakePool) checkInvariants() {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Empty(p.t, p.overlaps, "tasks that ran twice at the same time")
	require.Empty(p.t, p.overcommitted, "workers whose capacity was exceeded")
}

func task(repeatable bool, run dotterclock.Millis) dottertask.Task {
	return dottertask.Task{
		Team: "team", Template: "t", Size: dotterroom.Room{MilliCores: 1000, MemoryMB: 1000}, RunMillis: run, Repeatable: repeatable,
	}
}

func repeat(n int, t dottertask.Task) []dottertask.Task {
	tasks := make([]dottertask.Task, n)
	for i := range tasks {
		tasks[i] = t
	}
	return tasks
}
