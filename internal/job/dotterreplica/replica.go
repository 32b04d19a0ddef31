package dotterreplica

import (
	"context"
	"errors"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterpanic"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

const (
	// answerGrace is how long a watch may take beyond the wait that it requests.
	answerGrace = 600 * dotterclock.Millisecond
	// listTimeout bounds a listing of all keys, which may take several pages.
	listTimeout = 4 * dotterclock.Second
	// minListTimeout is the bound of the first listing of a replica, and of the first one after a watch that timed
	// out. It doubles with each failure up to listTimeout: the store may be silent, or the answer too large for the link.
	minListTimeout = 1600 * dotterclock.Millisecond
	// minProbeTimeout is the bound of the first probe after a failure. A call that was sent into an
	// outage gets no answer after it, so its bound is added to the outage. It doubles with each failure up
	// to maxProbeTimeout, since the store may be slow, and then starts again.
	minProbeTimeout = 400 * dotterclock.Millisecond
	maxProbeTimeout = 1600 * dotterclock.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 150 * dotterclock.Millisecond
)

// Sink receives the contents of a Replica. Its methods are called by one goroutine.
type Sink interface {
	// Reset replaces all keys by the entries.
	Reset(entries []dotterkey.Entry)
	// Change applies writes and deletions since the previous call.
	Change(changes dotterkey.Changes)
}

// Replica follows the keys with a prefix.
type Replica struct {
	store   dotterelusher.TransactionalStore
	clock   dotterelusher.Clock
	logger  *zap.Logger
	prefix  string
	wait    dotterclock.Millis
	pause   dotterclock.Millis
	sink    Sink
	timeout dotterclock.Millis // of the next listing
	probing dotterclock.Millis // timeout of the next probe
	freshAt atomic.Int64
	failing atomic.Bool // whether the last call failed
}

// New returns a replica of the keys with prefix; wait is how long one watch waits for a change.
func New(store dotterelusher.TransactionalStore, clock dotterelusher.Clock, logger *zap.Logger, prefix string, wait dotterclock.Millis, sink Sink) *Replica {
	return &Replica{store: store, clock: clock, logger: logger.With(zap.String("Prefix", prefix)), prefix: prefix, wait: wait, timeout: minListTimeout, probing: minProbeTimeout, sink: sink}
}

// WithPause makes the replica pause after each change, so that changes in quick
// succession arrive together. It must be called before Run.
func (r *Replica) WithPause(pause dotterclock.Millis) *Replica {
	r.pause = pause
	return r
}

// FreshAt returns the time up to which the replica is known to be complete, 0 if it never was.
func (r *Replica) FreshAt() dotterclock.Millis {
	return dotterclock.Millis(r.freshAt.Load())
}

// Failing reports whether the last call to the store failed.
func (r *Replica) Failing() bool {
	return r.failing.Load()
}

// age returns the time since FreshAt, -1 if the replica never was complete.
func (r *Replica) age() dotterclock.Millis {
	if r.FreshAt() == 0 {
		return -1
	}
	return r.clock.Now() - r.FreshAt()
}

// RunFrom is like Run for a sink that already has all keys as of the revision.
func (r *Replica) RunFrom(ctx context.Context, revision dotterkey.Revision) error {
	r.follow(ctx, revision)
	return r.Run(ctx)
}

// Run follows the keys until ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.Failing() {
			if err := r.probe(ctx); err != nil {
				r.failed(ctx, err)
				continue
			}
		}
		sentAt := r.clock.Now()
		revision, err := r.list(ctx)
		if err != nil {
			r.timeout = min(2*r.timeout, listTimeout)
			r.failed(ctx, err)
			continue
		}
		r.timeout = listTimeout
		r.answered(sentAt)
		r.follow(ctx, revision)
	}
	return nil
}

// probe returns nil if the store answers.
func (r *Replica) probe(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, r.probing.Duration())
	defer cancel()
	_, err := r.store.Get(call, r.prefix)
	if err == nil || errors.Is(err, dotterelusher.ErrStoreNotFound) {
		r.probing = minProbeTimeout
		return nil
	}
	if r.probing *= 2; r.probing > maxProbeTimeout {
		r.probing = minProbeTimeout
	}
	return err
}

func (r *Replica) list(ctx context.Context) (dotterkey.Revision, error) {
	call, cancel := context.WithTimeout(ctx, r.timeout.Duration())
	defer cancel()
	entries, revision, err := r.store.List(call, r.prefix)
	if err != nil {
		return 0, err
	}
	r.contain(revision, func() { r.sink.Reset(entries) })
	return revision, nil
}

// contain calls f, which hands what was read up to the revision to the sink. What it leaves
// out because of a panic is missing until the next listing.
func (r *Replica) contain(revision dotterkey.Revision, f func()) {
	if contained := dotterpanic.Contain(f); contained != nil {
		r.logger.Error("changes not applied", contained.Fields(zap.Int64("Revision", int64(revision)))...)
	}
}

// follow watches until the store has compacted the changes since the last one received, or a watch
// gets no answer in time: the changes since then may be too many for the link, and they only become
// more. A listing has each key once.
func (r *Replica) follow(ctx context.Context, after dotterkey.Revision) {
	for ctx.Err() == nil {
		sentAt := r.clock.Now()
		call, cancel := context.WithTimeout(ctx, (r.wait + answerGrace).Duration())
		changes, err := r.store.WatchFor(call, r.prefix, after, r.wait)
		cancel()
		if errors.Is(err, dotterelusher.ErrStoreCompacted) {
			return
		}
		if err != nil {
			r.failed(ctx, err)
			if r.clock.Now()-sentAt >= r.wait+answerGrace {
				r.timeout = minListTimeout
				r.logger.Info("watch timed out, its keys are listed", zap.Int64("After", int64(after)), zap.Int64("FreshMsAgo", int64(r.age())))
				return
			}
			continue
		}
		r.answered(sentAt)
		if len(changes.Entries)+len(changes.Deleted) > 0 {
			after = changes.Revision
			r.contain(changes.Revision, func() { r.sink.Change(changes) })
			if r.pause > 0 {
				select {
				case <-ctx.Done():
				case <-r.clock.After(r.pause):
				}
			}
		}
	}
}

func (r *Replica) answered(sentAt dotterclock.Millis) {
	r.freshAt.Store(int64(sentAt))
	if r.failing.CompareAndSwap(true, false) {
		r.logger.Info("store answers again")
	}
}

// failed logs the first of consecutive failures and waits for retryDelay.
func (r *Replica) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if r.failing.CompareAndSwap(false, true) {
		r.logger.Warn("store does not answer", zap.Int64("FreshMsAgo", int64(r.age())), zap.Error(err))
	}
	select {
	case <-ctx.Done():
	case <-r.clock.After(retryDelay):
	}
}
