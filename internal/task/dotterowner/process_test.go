package dotterowner

import (
	"context"
	"sync"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// fault is what happens to a process at one of its outward calls.
type fault struct {
	at     int  // number of the call, from 1; 0 never
	after  bool // the call takes effect first
	freeze bool // the process goes on when it is thawed; else it is dead for good
}

// process stands between an owner and everything outside it, so that a test
// can kill or freeze it at any of its calls.
type process struct {
	fault fault

	mu     sync.Mutex
	calls  int
	struck bool
	thawed chan struct{}
}

func newProcess(f fault) *process {
	return &process{fault: f, thawed: make(chan struct{})}
}

// pass lets one call through, or doesn't return before the process is thawed.
// It reports whether the process may make the call.
func (p *process) pass(call func()) bool {
	p.mu.Lock()
	p.calls++
	strikes := p.calls == p.fault.at
	if strikes && p.fault.after && !p.struck {
		p.struck = true
		p.mu.Unlock()
		call()
		return p.wait()
	}
	p.struck = p.struck || strikes
	struck := p.struck
	p.mu.Unlock()
	if struck && !p.wait() {
		return false
	}
	call()
	return true
}

// wait returns once the process is thawed; a dead one fails at once.
func (p *process) wait() bool {
	if !p.fault.freeze {
		return false
	}
	<-p.thawed
	return true
}

func (p *process) hasStruck() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.struck
}

func (p *process) thaw() {
	close(p.thawed)
}

// processStore is a process's way to the store.
type processStore struct {
	dotterelusher.Store
	process *process
}

// Get reads through the process.
func (s processStore) Get(ctx context.Context, key string) (entry dotterkey.Entry, err error) {
	if !s.process.pass(func() { entry, err = s.Store.Get(ctx, key) }) {
		return dotterkey.Entry{}, dotterelusher.ErrStoreIndeterminate
	}
	return entry, err
}

// Put writes through the process.
func (s processStore) Put(ctx context.Context, key string, value []byte, expect dotterkey.Version, lease dotterkey.LeaseID) (version dotterkey.Version, err error) {
	if !s.process.pass(func() { version, err = s.Store.Put(ctx, key, value, expect, lease) }) {
		return 0, dotterelusher.ErrStoreIndeterminate
	}
	return version, err
}

// processWorkers is a process's way to the workers.
type processWorkers struct {
	pool    *fakePool
	process *process
}

func (w processWorkers) call(f func() (dotterattempt.Report, error)) (report dotterattempt.Report, err error) {
	if !w.process.pass(func() { report, err = f() }) {
		return dotterattempt.Report{}, dotterelusher.ErrWorkerIndeterminate
	}
	return report, err
}

// Start starts through the process.
func (w processWorkers) Start(ctx context.Context, address string, start dotterattempt.Start) (dotterattempt.Report, error) {
	return w.call(func() (dotterattempt.Report, error) { return w.pool.Start(ctx, address, start) })
}

// Renew renews through the process.
func (w processWorkers) Renew(ctx context.Context, address string, renewal dotterattempt.Renewal) (dotterattempt.Report, error) {
	return w.call(func() (dotterattempt.Report, error) { return w.pool.Renew(ctx, address, renewal) })
}

// Checkpoint checkpoints through the process.
func (w processWorkers) Checkpoint(ctx context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error) {
	return w.call(func() (dotterattempt.Report, error) { return w.pool.Checkpoint(ctx, address, order) })
}

// Throttle throttles through the process.
func (w processWorkers) Throttle(ctx context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error) {
	return w.call(func() (dotterattempt.Report, error) { return w.pool.Throttle(ctx, address, order) })
}

// Stop stops through the process.
func (w processWorkers) Stop(ctx context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error) {
	return w.call(func() (dotterattempt.Report, error) { return w.pool.Stop(ctx, address, order) })
}

// Inventory takes the inventory through the process.
func (w processWorkers) Inventory(ctx context.Context, address, shard string, epoch int64) (dotterattempt.Report, error) {
	return w.call(func() (dotterattempt.Report, error) { return w.pool.Inventory(ctx, address, shard, epoch) })
}

// within returns options whose outward calls go through the process.
func (o Options) within(pool *fakePool, p *process) Options {
	o.Store = processStore{Store: o.Store, process: p}
	o.Workers = processWorkers{pool: pool, process: p}
	return o
}

// abandon ends a process that a test has killed or frozen.
func (p *fakePool) abandon(o *Owner, process *process) {
	p.owners = nil // the clock doesn't wait for it any more
	if process.fault.freeze {
		return
	}
	o.tomb.Kill(ErrDeposed)
	p.pump(10*dotterclock.Second, func() bool { return isDead(o) })
}
