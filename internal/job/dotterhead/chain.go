package dotterhead

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// Errors of a Chain.
var (
	// ErrDeposed means that another host owns the shard.
	ErrDeposed = eris.New("head: another host has taken the shard over")
	// ErrStopped means that the context ended before the outcome of a commit was known.
	ErrStopped = eris.New("head: stopped before the commit was answered")
)

const (
	// attemptSpan bounds one call to the store, far above its usual answer of some milliseconds.
	attemptSpan = 800 * dotterclock.Millisecond
	// retrySpan is the pause before a commit is tried again: short beside BeatSpan.
	retrySpan = 60 * dotterclock.Millisecond
)

// StaleSpan is how long an owner may go on giving orders without a commit that the
// store has confirmed. With the leases of what runs, it outlasts the store's usual
// outages of some seconds; a successor waits for it where it can't reach a worker.
const StaleSpan = 3 * dotterclock.Second

// Committer is the commits of one owner. One goroutine at a time may commit.
type Committer struct {
	store       dotterelusher.TransactionalStore
	key         string
	clock       dotterelusher.Clock
	logger      *zap.Logger
	head        Head
	version     dotterkey.Version
	former      dotterclock.Millis
	confirmedAt atomic.Int64
}

// Epoch returns the owner's epoch.
func (c *Committer) Epoch() int64 {
	return c.head.Epoch
}

// PredecessorExpiry returns until when the predecessor may go on giving orders.
func (c *Committer) PredecessorExpiry() dotterclock.Millis {
	return c.former
}

// Current reports whether this host may give orders as the owner.
func (c *Committer) Current() bool {
	return c.clock.Now()-c.ConfirmedAt() < StaleSpan
}

// ConfirmedAt returns when the newest answered commit was sent: this host was the owner then.
func (c *Committer) ConfirmedAt() dotterclock.Millis {
	return dotterclock.Millis(c.confirmedAt.Load())
}

// MaxEntries is how many keys one commit may change beside the head.
const MaxEntries = dotterkey.MaxTransaction - 2

// Commit writes the entries and deletes the keys. It tries until an answer tells
// the outcome; it returns ErrDeposed if another host owns the shard.
func (c *Committer) Commit(ctx context.Context, puts []dotterkey.Entry, deletes []string) error {
	next := c.head
	next.Commit++
	return c.advance(ctx, next, puts, deletes)
}

// Release gives the shard up, so that another host may take it over at once.
func (c *Committer) Release(ctx context.Context) error {
	next := c.head
	next.Host, next.Address = "", ""
	next.Commit++
	return c.advance(ctx, next, nil, nil)
}

func (c *Committer) advance(ctx context.Context, next Head, puts []dotterkey.Entry, deletes []string) error {
	t := dotterkey.Transaction{
		Expect:  map[string]dotterkey.Version{c.key: c.version},
		Puts:    append(puts, dotterkey.Entry{Key: c.key, Value: next.encode()}),
		Deletes: deletes,
	}
	for attempt := 1; ; attempt++ {
		sentAt := c.clock.Now()
		version, err := c.try(ctx, t, next)
		if err == nil {
			c.head, c.version = next, version
			c.confirmedAt.Store(int64(sentAt))
			return nil
		}
		if errors.Is(err, ErrDeposed) {
			return err
		}
		c.logger.Warn("commit not confirmed", zap.Int64("Epoch", next.Epoch), zap.Int64("Commit", next.Commit),
			zap.Int("Attempt", attempt), zap.Int64("ConfirmedMsAgo", int64(sentAt-c.ConfirmedAt())), zap.Error(err))
		select {
		case <-ctx.Done():
			return ErrStopped
		case <-c.clock.After(retrySpan):
		}
	}
}

// try sends the transaction once. An own commit whose answer was lost is
// recognised by its epoch and number.
func (c *Committer) try(ctx context.Context, t dotterkey.Transaction, next Head) (dotterkey.Version, error) {
	call, cancel := context.WithTimeout(ctx, attemptSpan.Duration())
	defer cancel()
	revision, current, err := c.store.Commit(call, t)
	if err == nil {
		return dotterkey.Version(revision), nil
	}
	if !errors.Is(err, dotterelusher.ErrStoreConflict) {
		return 0, err
	}
	for _, e := range current {
		if e.Key != c.key {
			continue
		}
		found, err := decode(e.Value)
		if err == nil && found == next {
			return e.Version, nil
		}
	}
	return 0, ErrDeposed
}
