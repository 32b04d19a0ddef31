package dotterhead

import (
	"context"
	"errors"
	"sync"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

const (
	// HeartbeatInterval is how often an owner commits at least, so that others see it live.
	HeartbeatInterval = 300 * dotterclock.Millisecond
	// pollSpan is how often a host that is not the owner reads the head.
	pollSpan = 400 * dotterclock.Millisecond
	// weakPollSpan replaces pollSpan on weak hosts, which are most of a large site and
	// take the shard over last.
	weakPollSpan = 1200 * dotterclock.Millisecond
	// hastyPollSpan replaces pollSpan while the owner is suspected.
	hastyPollSpan = 150 * dotterclock.Millisecond
	// patience is how long a head must stand still before it is taken over: four beats.
	patience = 4 * HeartbeatInterval
	// hastyPatience replaces patience when the owner's host refuses connections.
	hastyPatience = 2 * HeartbeatInterval
	// weakPatience is added on hosts that should own the shard only if no stronger one does.
	weakPatience = 1500 * dotterclock.Millisecond
)

// Owner does the owner's work.
type Owner interface {
	// Own works until ctx ends or the chain was deposed. It returns nil if the
	// shard may be released by the chain.
	Own(ctx context.Context, chain *Committer) error
}

// Elector takes the shard over when nobody owns it.
type Elector struct {
	store   dotterelusher.TransactionalStore
	clock   dotterelusher.Clock
	logger  *zap.Logger
	key     string
	host    string
	address string
	weak    bool

	mu        sync.Mutex
	head      Head
	known     bool
	version   dotterkey.Version
	changedAt dotterclock.Millis // when the head was first seen as it is
	readAt    dotterclock.Millis // when the head was read last
	suspected bool
	owning    bool
}

// New returns a keeper of the head under key for the host; a weak host waits longer than others.
func New(store dotterelusher.TransactionalStore, clock dotterelusher.Clock, logger *zap.Logger, key, host, address string, weak bool) *Elector {
	return &Elector{store: store, clock: clock, logger: logger, key: key, host: host, address: address, weak: weak, changedAt: clock.Now()}
}

// Owner returns the head last seen, and false before there was one or while nobody owns the shard.
func (k *Elector) Owner() (Head, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.head, k.known && !k.head.Released()
}

// Owning reports whether this host owns the shard.
func (k *Elector) Owning() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.owning
}

// ReadAt returns when the store last told the head.
func (k *Elector) ReadAt() dotterclock.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.readAt
}

// Suspect makes the keeper look sooner: the owner's host refuses connections.
func (k *Elector) Suspect(host string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known && k.head.Host == host {
		k.suspected = true
	}
}

// Run follows the head and owns the shard whenever it falls to this host, until ctx ends.
func (k *Elector) Run(ctx context.Context, owner Owner) {
	for ctx.Err() == nil {
		k.look(ctx)
		if k.due() {
			if chain := k.takeOver(ctx); chain != nil {
				k.own(ctx, owner, chain)
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-k.clock.After(k.pause()):
		}
	}
}

func (k *Elector) pause() dotterclock.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.suspected || !k.known || k.head.Released() {
		return hastyPollSpan
	}
	return k.usualPollSpan()
}

// usualPollSpan returns how often this host reads the head of an owner that seems well.
func (k *Elector) usualPollSpan() dotterclock.Millis {
	if k.weak {
		return weakPollSpan
	}
	return pollSpan
}

// look reads the head.
func (k *Elector) look(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, attemptSpan.Duration())
	defer cancel()
	entry, err := k.store.Get(call, k.key)
	now := k.clock.Now()
	if errors.Is(err, dotterelusher.ErrStoreNotFound) {
		k.seen(now, Head{}, 0)
		return
	}
	if err != nil {
		// What can't be read may have moved on: patience starts again.
		k.mu.Lock()
		k.changedAt = now
		k.mu.Unlock()
		if ctx.Err() == nil {
			k.logger.Debug("head not read", zap.Error(err))
		}
		return
	}
	head, err := decode(entry.Value)
	if err != nil {
		k.logger.Error("head not read", zap.Error(err))
	}
	k.seen(now, head, entry.Version)
}

func (k *Elector) seen(now dotterclock.Millis, head Head, version dotterkey.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if head.Host != k.head.Host || head.Epoch != k.head.Epoch {
		k.logger.Info("owner changed", zap.String("Owner", head.Host), zap.Int64("Epoch", head.Epoch), zap.Int64("Commit", head.Commit))
	}
	if version != k.version || !k.known {
		k.changedAt = now
		k.suspected = false
	}
	k.head, k.version, k.known, k.readAt = head, version, true, now
}

// due reports whether the shard falls to this host.
func (k *Elector) due() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if !k.known || k.readAt != 0 && now-k.readAt > k.usualPollSpan() {
		return false
	}
	wait := patience
	switch {
	case k.head.Released():
		wait = 0
	case k.head.Host == k.host:
		return true // a former process of this host
	case k.suspected:
		wait = hastyPatience
	}
	if k.weak {
		wait += weakPatience
	}
	return now-k.changedAt >= wait
}

// takeOver makes this host the owner, or returns nil if another one was faster.
func (k *Elector) takeOver(ctx context.Context) *Committer {
	k.mu.Lock()
	former, version, stoodSince := k.head, k.version, k.changedAt
	k.mu.Unlock()
	now := k.clock.Now()
	c := &Committer{store: k.store, key: k.key, clock: k.clock, logger: k.logger, head: former, version: version}
	c.confirmedAt.Store(int64(now))
	next := Head{Host: k.host, Address: k.address, Epoch: former.Epoch + 1, Commit: 1}
	if err := c.advance(ctx, next, nil, nil); err != nil {
		k.logger.Info("takeover given up", zap.Int64("Epoch", next.Epoch), zap.Error(err))
		return nil
	}
	k.logger.Info("took the shard over", zap.String("From", former.Host), zap.Int64("Epoch", next.Epoch), zap.Int64("HeadStoodMs", int64(now-stoodSince)))
	// A predecessor that has let go is silent. Any other one falls silent StaleSpan
	// after the commit that this host saw last.
	c.former = k.clock.Now()
	if !former.Released() {
		c.former = max(c.former, stoodSince+StaleSpan)
	}
	return c
}

// own lets the owner work and releases the shard if it still is this host's.
func (k *Elector) own(ctx context.Context, owner Owner, chain *Committer) {
	k.set(chain, true)
	err := owner.Own(ctx, chain)
	k.set(chain, false)
	k.logger.Info("no longer the owner", zap.Int64("Epoch", chain.Epoch()), zap.Error(err))
	if err != nil {
		k.logger.Info("the shard is left to others", zap.Error(err))
		return
	}
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), attemptSpan.Duration())
	defer cancel()
	if err := chain.Release(release); err != nil {
		k.logger.Warn("shard not released", zap.Int64("Epoch", chain.Epoch()), zap.Error(err))
	}
	select { // others first
	case <-ctx.Done():
	case <-k.clock.After(patience):
	}
}

func (k *Elector) set(chain *Committer, owning bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.head, k.version, k.owning, k.known = chain.head, chain.version, owning, true
	k.changedAt = k.clock.Now()
}
