package dotterreplica

import (
	"context"
	"errors"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

const (
	// answerSpan is how long an answer may take beyond the wait that was asked for.
	answerSpan = 600 * dotterclock.Millisecond
	// listSpan bounds a listing of all keys, which may take several pages.
	listSpan = 4 * dotterclock.Second
	// retrySpan is the pause after a call that failed.
	retrySpan = 150 * dotterclock.Millisecond
)

// Sink takes in what a Replica sees. Its methods are called by one goroutine.
type Sink interface {
	// Reset takes in all keys.
	Reset(entries []dotterkey.Entry)
	// Change takes in keys written and deleted since.
	Change(changes dotterkey.Changes)
}

// Replica follows the keys below a prefix.
type Replica struct {
	store  dotterelusher.TransactionalStore
	clock  dotterelusher.Clock
	logger *zap.Logger
	prefix string
	wait   dotterclock.Millis
	sink   Sink
	fresh  atomic.Int64
	lost   bool
}

// New returns a replica of the keys below prefix; wait is how long one watch waits for a change.
func New(store dotterelusher.TransactionalStore, clock dotterelusher.Clock, logger *zap.Logger, prefix string, wait dotterclock.Millis, sink Sink) *Replica {
	return &Replica{store: store, clock: clock, logger: logger.With(zap.String("Prefix", prefix)), prefix: prefix, wait: wait, sink: sink}
}

// FreshAt returns the instant up to which the replica is known to be complete; 0: it never was.
func (r *Replica) FreshAt() dotterclock.Millis {
	return dotterclock.Millis(r.fresh.Load())
}

// age returns how long ago the replica was known to be complete; -1: it never was.
func (r *Replica) age() dotterclock.Millis {
	if r.FreshAt() == 0 {
		return -1
	}
	return r.clock.Now() - r.FreshAt()
}

// RunFrom is Run for a sink that has all keys as they were at the revision.
func (r *Replica) RunFrom(ctx context.Context, revision dotterkey.Revision) error {
	r.follow(ctx, revision)
	return r.Run(ctx)
}

// Run follows the keys until ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sentAt := r.clock.Now()
		revision, err := r.list(ctx)
		if err != nil {
			r.failed(ctx, err)
			continue
		}
		r.answered(sentAt)
		r.follow(ctx, revision)
	}
	return nil
}

func (r *Replica) list(ctx context.Context) (dotterkey.Revision, error) {
	call, cancel := context.WithTimeout(ctx, listSpan.Duration())
	defer cancel()
	entries, revision, err := r.store.List(call, r.prefix)
	if err != nil {
		return 0, err
	}
	r.sink.Reset(entries)
	return revision, nil
}

// follow watches until the store no longer keeps the changes since the last one seen.
func (r *Replica) follow(ctx context.Context, after dotterkey.Revision) {
	for ctx.Err() == nil {
		sentAt := r.clock.Now()
		call, cancel := context.WithTimeout(ctx, (r.wait + answerSpan).Duration())
		changes, err := r.store.WatchFor(call, r.prefix, after, r.wait)
		cancel()
		if errors.Is(err, dotterelusher.ErrStoreCompacted) {
			return
		}
		if err != nil {
			r.failed(ctx, err)
			continue
		}
		r.answered(sentAt)
		if len(changes.Entries)+len(changes.Deleted) > 0 {
			after = changes.Revision
			r.sink.Change(changes)
		}
	}
}

func (r *Replica) answered(sentAt dotterclock.Millis) {
	r.fresh.Store(int64(sentAt))
	if r.lost {
		r.lost = false
		r.logger.Info("store answers again")
	}
}

// failed logs the first of several failures and pauses.
func (r *Replica) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !r.lost {
		r.lost = true
		r.logger.Warn("store does not answer", zap.Int64("FreshMsAgo", int64(r.age())), zap.Error(err))
	}
	select {
	case <-ctx.Done():
	case <-r.clock.After(retrySpan):
	}
}
