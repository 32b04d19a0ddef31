package dotterowner

import (
	"context"
	"sync"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// fault is a failure of a process at one of its calls to the store or a worker.
type fault struct {
	call        int  // number of the call, counted from 1; 0 means no fault
	afterEffect bool // the call takes effect before the fault
	freeze      bool // the process stops until resume is called; otherwise it is killed
}

// process intercepts an owner's calls to the store and the workers, so that a test
// can kill or freeze the owner at any call.
type process struct {
	fault fault

	mu        sync.Mutex
	calls     int
	triggered bool
	resumed   chan struct{}
}

func newProcess(f fault) *process {
	return &process{fault: f, resumed: make(chan struct{})}
}

// do makes one call, or injects the fault. On a frozen process it blocks until resume
// is called. It reports whether the caller gets the result of the call.
func (p *process) do(call func()) bool {
	p.mu.Lock()
	p.calls++
	triggers := p.calls == p.fault.call
	if triggers && p.fault.afterEffect && !p.triggered {
		p.triggered = true
		p.mu.Unlock()
		call()
		return p.waitForResume()
	}
	p.triggered = p.triggered || triggers
	triggered := p.triggered
	p.mu.Unlock()
	if triggered && !p.waitForResume() {
		return false
	}
	call()
	return true
}

// waitForResume blocks until a frozen process is resumed. It returns false at once
// if the process was killed.
func (p *process) waitForResume() bool {
	if !p.fault.freeze {
		return false
	}
	<-p.resumed
	return true
}

func (p *process) faultTriggered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.triggered
}

func (p *process) resume() {
	close(p.resumed)
}

// processStore routes store calls through a process.
type processStore struct {
	dotterelusher.Store
	process *process
}

// Get calls Get through the process.
func (s processStore) Get(ctx context.Context, key string) (entry dotterkey.Entry, err error) {
	if !s.process.do(func() { entry, err = s.Store.Get(ctx, key) }) {
		return dotterkey.Entry{}, dotterelusher.ErrStoreIndeterminate
	}
	return entry, err
}

// Put calls Put through the process.
func (s processStore) Put(ctx context.Context, key string, value []byte, expect dotterkey.Version, lease dotterkey.LeaseID) (version dotterkey.Version, err error) {
	if !s.process.do(func() { version, err = s.Store.Put(ctx, key, value, expect, lease) }) {
		return 0, dotterelusher.ErrStoreIndeterminate
	}
	return version, err
}

// processWorkers routes worker calls through a process.
type processWorkers struct {
	pool    *fakePool
	process *process
}

func (w processWorkers) call(f func() (dotterattempt.Report, error)) (report dotterattempt.Report, err error) {
	if !w.process.do(func() { report, err = f() }) {
		return dotterattempt.Report{}, dotterelusher.ErrWorkerIndeterminate
	}
	return report, err
}

// Start calls Start through the process.
func (w processWorkers) Start(ctx context.Context, address string, start dotterattempt.Start) (dotterattempt.Report, error) {
	return w.call(func() (dotterattempt.Report, error) { return w.pool.Start(ctx, address, start) })
}

// Renew calls Renew through the process.
func (w processWorkers) Renew(ctx context.Context, address string, renewal dotterattempt.Renewal) (dotterattempt.Report, error) {
	return w.call(func() (dotterattempt.Report, error) { return w.pool.Renew(ctx, address, renewal) })
}

// Checkpoint calls Checkpoint through the process.
func (w processWorkers) Checkpoint(ctx context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error) {
	return w.call(func() (dotterattempt.Report, error) { return w.pool.Checkpoint(ctx, address, order) })
}

// Throttle calls Throttle through the process.
func (w processWorkers) Throttle(ctx context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error) {
	return w.call(func() (dotterattempt.Report, error) { return w.pool.Throttle(ctx, address, order) })
}

// Stop calls Stop through the process.
func (w processWorkers) Stop(ctx context.Context, address string, order dotterattempt.Order) (dotterattempt.Report, error) {
	return w.call(func() (dotterattempt.Report, error) { return w.pool.Stop(ctx, address, order) })
}

// Inventory calls Inventory through the process.
func (w processWorkers) Inventory(ctx context.Context, address, shard string, epoch int64) (dotterattempt.Report, error) {
	return w.call(func() (dotterattempt.Report, error) { return w.pool.Inventory(ctx, address, shard, epoch) })
}

// viaProcess returns options whose store and worker calls go through the process.
func (o Options) viaProcess(pool *fakePool, p *process) Options {
	o.Store = processStore{Store: o.Store, process: p}
	o.Workers = processWorkers{pool: pool, process: p}
	return o
}

// abandonOwner stops waiting for an owner whose process was killed or frozen and, if
// it was killed, ends the owner.
func (p *fakePool) abandonOwner(o *Owner, process *process) {
	p.owners = nil // settle must not wait for it any more
	if process.fault.freeze {
		return
	}
	o.tomb.Kill(ErrDeposed)
	p.advanceUntil(10*dotterclock.Second, func() bool { return isDead(o) })
}
