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
	status  dotterattempt.Status
	until   dotterclock.Millis // when it is done
	lease   dotterclock.Millis // when its lease lapses
	started dotterclock.Millis
}

// fakeWorker follows the contract of dotterattempt on the pool's clock.
type fakeWorker struct {
	host     dotterhost.Host
	epochs   map[string]int64
	attempts map[dotterattempt.Ref]*fakeAttempt
	dead     bool // unreachable, and runs nothing
	cut      bool // unreachable, and goes on
	lose     int  // next starts take effect and get no answer
	refuse   bool // refuses every start
	fail     bool // every attempt fails at once
}

// fakePool is the platform's side of a test: store, host list and workers, with
// the truth of what ran.
type fakePool struct {
	t      testing.TB
	owners []*Owner // opened by open, which the clock waits for
	clock  *dotterclock.Manual
	store  *dottermemory.Store

	mu            sync.Mutex
	workers       map[string]*fakeWorker // by address
	hosts         []dotterhost.Host
	running       map[dottertask.ID]int
	starts        map[dottertask.ID]int
	resumed       map[dottertask.ID][]string
	finished      map[dottertask.ID]int
	ranCoreMillis int64 // of attempts whose end some worker could tell
	overlaps      []string
	overfull      []string
	late          []dotterattempt.Start // starts kept back, to arrive later
	hold          bool                  // keep the next starts back
	ahead, leaped dotterclock.Millis    // the workers' clocks leap at the next start
	between       bool                  // another owner comes between the two
	outage        dotterclock.Millis    // the store is down for so long before the takeover
	document      dotterconfig.Document
	allowed       dotterelusher.StartPermission
}

var workerRoom = dotterroom.Room{MilliCores: 4000, MemoryMB: 4000}

func newPool(t testing.TB, workers int) *fakePool {
	clock := dotterclock.NewManual(1_000_000)
	p := &fakePool{
		t: t, clock: clock, store: dottermemory.New(clock), workers: map[string]*fakeWorker{},
		running: map[dottertask.ID]int{}, starts: map[dottertask.ID]int{}, finished: map[dottertask.ID]int{},
		resumed: map[dottertask.ID][]string{}, allowed: dotterelusher.StartPermission{Allowed: true},
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
			State: dotterhost.StateLive, Incarnation: 1, Capacity: workerRoom,
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

// Changed never fires: owners look at each tick.
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

// restart starts a new process on a worker; what it ran is gone.
func (p *fakePool) restart(name string) {
	p.set(func() {
		w := p.workers[name]
		for _, a := range w.attempts {
			p.stopRunning(a)
		}
		w.attempts = map[dotterattempt.Ref]*fakeAttempt{}
		w.epochs = map[string]int64{}
		w.host.Incarnation++
		w.dead = false
	})
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
		a.status.RanMillis = p.clock.Now() - a.started
		p.running[a.status.Task]--
		p.ranCoreMillis += a.status.Size.MilliCores * int64(a.status.RanMillis)
	}
}

// advance moves what runs on every worker to the present.
func (p *fakePool) advance() {
	now := p.clock.Now()
	for _, w := range p.workers {
		for _, a := range w.attempts {
			if a.status.Phase != dotterattempt.PhaseRunning {
				continue
			}
			switch {
			case now >= a.lease:
				p.stopRunning(a)
				a.status.Phase = dotterattempt.PhaseLapsed
			case now >= a.until:
				p.stopRunning(a)
				a.status.Phase = dotterattempt.PhaseDone
				p.finished[a.status.Task]++
			}
		}
	}
}

// enter checks the epoch and returns the worker, or an error or a refusal.
func (p *fakePool) enter(address, shard string, epoch int64) (*fakeWorker, dotterattempt.Report, error) {
	p.advance()
	w, ok := p.workers[address]
	if !ok || w.dead || w.cut {
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
		Worker: w.host.Name, Incarnation: w.host.Incarnation, Clock: p.clock.Now() + 77 + p.leaped, Epoch: w.epochs[shard], Refused: refused,
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
	if p.hold {
		p.late = append(p.late, start)
		return dotterattempt.Report{}, dotterelusher.ErrWorkerIndeterminate
	}
	return p.start(address, start)
}

func (p *fakePool) start(address string, start dotterattempt.Start) (dotterattempt.Report, error) {
	w, report, err := p.enter(address, start.Shard, start.Epoch)
	if err != nil || report.Refused != "" {
		return report, err
	}
	if w.refuse {
		return p.reportOf(w, start.Shard, "refuses everything"), nil
	}
	if start.Incarnation != w.host.Incarnation {
		return p.reportOf(w, start.Shard, "another incarnation"), nil
	}
	now := p.clock.Now() + 77 + p.leaped + p.ahead
	p.leaped, p.ahead = p.leaped+p.ahead, 0
	if _, known := w.attempts[start.Ref]; !known && now > start.LatestStart {
		return p.reportOf(w, start.Shard, "late"), nil
	}
	if _, known := w.attempts[start.Ref]; !known {
		p.run(w, start)
	}
	if w.lose > 0 {
		w.lose--
		return dotterattempt.Report{}, dotterelusher.ErrWorkerIndeterminate
	}
	return p.reportOf(w, start.Shard, ""), nil
}

func (p *fakePool) run(w *fakeWorker, start dotterattempt.Start) {
	now := p.clock.Now()
	a := &fakeAttempt{
		status:  dotterattempt.Status{Ref: start.Ref, Phase: dotterattempt.PhaseRunning, Size: start.Size},
		started: now, until: now + start.RunMillis, lease: now + start.Lease,
	}
	w.attempts[start.Ref] = a
	p.starts[start.Task]++
	p.resumed[start.Task] = append(p.resumed[start.Task], start.ResumeFrom)
	p.running[start.Task]++
	if p.running[start.Task] > 1 {
		p.overlaps = append(p.overlaps, string(start.Task))
	}
	var held dotterroom.Room
	for _, o := range w.attempts {
		if o.status.Phase == dotterattempt.PhaseRunning {
			held = held.Add(o.status.Size)
		}
	}
	if !held.Fits(w.host.Capacity) {
		p.overfull = append(p.overfull, w.host.Name)
	}
	if w.fail {
		p.stopRunning(a)
		a.status.Phase = dotterattempt.PhaseFailed
	}
}

// Renew renews leases and forgets acknowledged ends.
func (p *fakePool) Renew(_ context.Context, address string, renewal dotterattempt.Renewal) (dotterattempt.Report, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, report, err := p.enter(address, renewal.Shard, renewal.Epoch)
	if err != nil || report.Refused != "" {
		return report, err
	}
	for _, ref := range renewal.Attempts {
		if a, ok := w.attempts[ref]; ok && a.status.Phase == dotterattempt.PhaseRunning {
			a.lease = p.clock.Now() + renewal.Lease
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
	w, report, err := p.enter(address, order.Shard, order.Epoch)
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
	_, report, err := p.enter(address, order.Shard, order.Epoch)
	return report, err
}

// Inventory raises the epoch and reports.
func (p *fakePool) Inventory(_ context.Context, address, shard string, epoch int64) (dotterattempt.Report, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, report, err := p.enter(address, shard, epoch)
	return report, err
}

var shardD = dottershard.Name{FailureDomain: "d", Number: 0}

// noHandoff has nowhere to move tasks to.
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
	limits.RingSize = 64
	return Options{
		Shard: shardD, Writer: writer, Store: p.store, Clock: p.clock, Configuration: p, Directory: p, Workers: p,
		Placer: dotternaive.New(dotternaive.RuleFirstFit), Handoff: noHandoff{},
		Mine:    func(w dotterhost.Host) bool { return w.FailureDomain == "d" },
		PoolUse: func() PoolUse { return PoolUse{} },
		Logger:  zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()), Limits: limits,
	}
}

func (p *fakePool) open(options Options) *Owner {
	o, err := Open(context.Background(), options)
	require.NoError(p.t, err)
	p.owners = append(p.owners, o)
	return o
}

const (
	// settleAsks is how often a loop is asked after each step of the clock, so
	// that it takes in what has become due however busy the machine is.
	settleAsks = 3
	// settleLimit bounds the wait for answers that the fakes owe an owner.
	settleLimit = 5 * time.Millisecond
)

// settle lets the owners catch up with the clock.
func (p *fakePool) settle() {
	time.Sleep(20 * time.Microsecond)
	for _, o := range p.owners {
		started := time.Now()
		for asks := 0; asks < settleAsks || time.Since(started) < settleLimit; asks++ {
			idle := false
			if o.ask(context.Background(), func() { idle = !o.inFlight() }) != nil {
				break
			}
			if idle && asks >= settleAsks {
				break
			}
		}
	}
}

// inFlight reports whether an answer of a worker or the store is on its way.
func (o *Owner) inFlight() bool {
	for _, w := range o.workers {
		if w.calling {
			return true
		}
	}
	return o.writing != nil && !o.writing.uncertain
}

// pump lets virtual time pass until done holds; it gives up after limit of it.
func (p *fakePool) pump(limit dotterclock.Millis, done func() bool) {
	p.t.Helper()
	for end := p.clock.Now() + limit; p.clock.Now() < end; {
		if done() {
			return
		}
		p.pass(20)
	}
	require.True(p.t, done(), "not reached after %d ms", limit)
}

// pass lets virtual time pass in small steps.
func (p *fakePool) pass(span dotterclock.Millis) {
	for ; span > 0; span -= 20 {
		p.clock.Advance(20)
		p.settle()
	}
}

// submit submits tasks and returns their names once they are in the log.
func (p *fakePool) submit(o *Owner, tasks ...dottertask.Task) []dottertask.ID {
	p.t.Helper()
	named, err := p.trySubmit(o, tasks...)
	require.NoError(p.t, err)
	ids := make([]dottertask.ID, len(named))
	for i, t := range named {
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
		named, err := o.Submit(context.Background(), tasks)
		results <- result{named, err}
	}()
	var got result
	p.pump(20*dotterclock.Second, func() bool {
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

// untilState lets time pass until the task is in state.
func (p *fakePool) untilState(o *Owner, id dottertask.ID, state dottertask.State, limit dotterclock.Millis) {
	p.t.Helper()
	p.pump(limit, func() bool { return p.state(o, id) == state })
}

// checkTruth checks what must hold whatever happened.
func (p *fakePool) checkTruth() {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Empty(p.t, p.overlaps, "tasks that ran in two places")
	require.Empty(p.t, p.overfull, "workers that held too much")
}

func task(repeatable bool, run dotterclock.Millis) dottertask.Task {
	return dottertask.Task{
		Team: "team", Template: "t", Size: dotterroom.Room{MilliCores: 1000, MemoryMB: 1000}, RunMillis: run, Repeatable: repeatable,
	}
}

func many(n int, t dottertask.Task) []dottertask.Task {
	tasks := make([]dottertask.Task, n)
	for i := range tasks {
		tasks[i] = t
	}
	return tasks
}
