package dotterhead

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterpartition"
)

const (
	// HeartbeatInterval is how often an owner commits at least, so that other hosts see
	// that it is alive.
	HeartbeatInterval = 300 * dotterclock.Millisecond
	// pollInterval is how often a host reads the heads.
	pollInterval = 400 * dotterclock.Millisecond
	// weakPollInterval replaces pollInterval on weak hosts, which are most hosts of a
	// large site and take shards over last.
	weakPollInterval = 1200 * dotterclock.Millisecond
	// fastPollInterval replaces pollInterval while an owner is suspected or a shard has none.
	fastPollInterval = 150 * dotterclock.Millisecond
	// takeoverTimeout is how long a head must be unchanged before the shard is taken over.
	takeoverTimeout = 4 * HeartbeatInterval
	// suspectTakeoverTimeout replaces takeoverTimeout when the owner's host refuses connections.
	suspectTakeoverTimeout = 2 * HeartbeatInterval
	// weakTakeoverDelay is added on weak hosts, which should own a shard only if no
	// stronger host does.
	weakTakeoverDelay = 1500 * dotterclock.Millisecond
	// remoteTakeoverDelay is added on hosts outside of the shard's failure domains. It exceeds
	// the usual time for which a domain is cut off. Runs of a domain that lost its power
	// cannot be replaced sooner either, since their leases must expire.
	remoteTakeoverDelay = 6 * dotterclock.Second
	// ownedTakeoverDelay is added for each shard that the host owns already, so that shards
	// spread over the hosts.
	ownedTakeoverDelay = 800 * dotterclock.Millisecond
	// liveTimeout is how long a head may be unchanged, beyond the poll interval, before its
	// owner no longer counts as live.
	liveTimeout = 2 * HeartbeatInterval
)

// Owner performs the work of a shard's owner.
type Owner interface {
	// Own works until ctx ends or the committer returns ErrDeposed. It returns nil if
	// the shard may be released through the committer.
	Own(ctx context.Context, committer *Committer) error
}

// Elector takes shards over whose owners have released them or seem to have failed.
type Elector struct {
	store  dotterelusher.TransactionalStore
	clock  dotterelusher.Clock
	logger *zap.Logger
	prefix string
	self   Candidate

	timestampPrefix string
	startedAt       dotterclock.Millis

	mu     sync.Mutex
	heads  map[string]*shardHead // by shard
	names  []string              // of the shards, sorted
	readAt dotterclock.Millis    // when the heads were last read
}

// New returns an elector for the candidate without shards. Heads and timestamps are stored under
// their prefixes, followed by the name of the shard. The process must have bound the candidate's address.
func New(store dotterelusher.TransactionalStore, clock dotterelusher.Clock, logger *zap.Logger, prefix, timestampPrefix string, self Candidate) *Elector {
	return &Elector{
		store: store, clock: clock, logger: logger, prefix: prefix, self: self, heads: map[string]*shardHead{},
		timestampPrefix: timestampPrefix, startedAt: clock.Now(),
	}
}

// SetShards sets the shards. It must be called once, before Run.
func (e *Elector) SetShards(p dotterpartition.Partition) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for _, s := range p.Shards {
		e.heads[s.Name] = &shardHead{
			shard: s.Name, near: len(p.Shards) == 1 || s.Includes(e.self.FailureDomain), changedAt: now, liveAt: now,
		}
	}
	e.names = slices.Sorted(maps.Keys(e.heads))
}

// Shards returns the names of all shards, sorted; none before SetShards.
func (e *Elector) Shards() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.names
}

// Owner returns the shard's head as last seen. It returns false if none was seen yet or
// the shard has no owner.
func (e *Elector) Owner(shard string) (Head, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, ok := e.heads[shard]
	if !ok {
		return Head{}, false
	}
	return h.head, h.known && !h.head.Released()
}

// Live reports whether the shard's owner has committed recently, as far as this host sees.
func (e *Elector) Live(shard string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, ok := e.heads[shard]
	return ok && h.known && !h.head.Released() && e.clock.Now()-h.liveAt < e.normalPollInterval()+liveTimeout
}

// SeenAt returns when this host last saw that the shard's owner had committed.
func (e *Elector) SeenAt(shard string) dotterclock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	if h, ok := e.heads[shard]; ok {
		return h.liveAt
	}
	return 0
}

// Owning reports whether this host owns the shard.
func (e *Elector) Owning(shard string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, ok := e.heads[shard]
	return ok && h.owning
}

// ReadAt returns when the heads were last read from the store.
func (e *Elector) ReadAt() dotterclock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.readAt
}

// Suspect shortens the poll interval and the shard's takeover timeout if host is the
// owner. It is called when the owner's host refuses connections.
func (e *Elector) Suspect(shard, host string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if h, ok := e.heads[shard]; ok && h.known && h.head.Host == host {
		h.suspected = true
	}
}

// Run reads the heads until ctx ends, and runs newOwner's result for each shard that this
// host takes over, in a goroutine of its own. It returns after all owners have.
func (e *Elector) Run(ctx context.Context, newOwner func(shard string) Owner) {
	var owners sync.WaitGroup
	defer owners.Wait()
	for ctx.Err() == nil {
		e.readHeads(ctx)
		if shard, due := e.nextTakeover(); due {
			if committer := e.takeOver(ctx, shard); committer != nil {
				owners.Go(func() { e.runOwner(ctx, shard, newOwner(shard), committer) })
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-e.clock.After(e.readDelay()):
		}
	}
}

// readDelay returns the delay before the next reading. Only hosts that may soon take a
// shard over read faster than usual.
func (e *Elector) readDelay() dotterclock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range e.heads {
		if h.near && !h.owning && (h.suspected || !h.known || h.head.Released()) {
			return fastPollInterval
		}
	}
	return e.normalPollInterval()
}

// normalPollInterval returns how often this host reads the heads of owners that are not suspected.
func (e *Elector) normalPollInterval() dotterclock.Millis {
	if e.self.Weak {
		return weakPollInterval
	}
	return pollInterval
}

// readHeads reads the heads of all shards from the store.
func (e *Elector) readHeads(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	entries, _, err := e.store.List(call, e.prefix)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if err != nil {
		// The heads may have changed unseen, so the takeover timeout starts again.
		for _, h := range e.heads {
			h.changedAt = now
		}
		if ctx.Err() == nil {
			e.logger.Debug("heads not read", zap.Error(err))
		}
		return
	}
	stored := map[string]dotterkey.Entry{}
	for _, entry := range entries {
		stored[strings.TrimPrefix(entry.Key, e.prefix)] = entry
	}
	for _, shard := range e.names {
		e.observe(now, e.heads[shard], stored[shard])
	}
	e.readAt = now
}

// observe records the stored head of a shard; an entry without a version means that there
// is none.
func (e *Elector) observe(now dotterclock.Millis, h *shardHead, stored dotterkey.Entry) {
	var head Head
	if stored.Version != 0 {
		var err error
		if head, err = decode(stored.Value); err != nil {
			head = unreadable(stored.Version)
			if stored.Version != h.version {
				e.logger.Error("head not decoded", zap.String("Shard", h.shard), zap.Int64("StoreVersion", int64(stored.Version)), zap.Error(err))
			}
		}
	}
	if h.observe(now, head, stored.Version) {
		e.logger.Info("owner changed", zap.String("Shard", h.shard), zap.String("Owner", head.Host), zap.Int64("Epoch", head.Epoch), zap.Int64("Commit", head.Commit))
	}
}

// nextTakeover returns the shard that this host should take over now, if any: one of its
// own failure domain first, then the one whose head has been unchanged longest.
func (e *Elector) nextTakeover() (shard string, due bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if e.readAt == 0 || now-e.readAt > e.normalPollInterval() {
		return "", false
	}
	owned := 0
	for _, h := range e.heads {
		if h.owning {
			owned++
		}
	}
	var candidates []*shardHead
	for _, name := range e.names {
		h := e.heads[name]
		if h.known && !h.owning && now-h.changedAt >= h.takeoverDelay(e.self, owned) {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	first := slices.MinFunc(candidates, func(a, b *shardHead) int {
		if a.near != b.near {
			if a.near {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.changedAt, b.changedAt)
	})
	return first.shard, true
}

// takeOver makes this host the owner of the shard. It returns nil if that failed, for
// instance because another host was faster.
func (e *Elector) takeOver(ctx context.Context, shard string) *Committer {
	now := e.clock.Now()
	e.mu.Lock()
	h := e.heads[shard]
	previous, version, unchangedSince := h.head, h.version, h.changedAt
	expiry, proof := h.predecessor(e.self, now, e.startedAt)
	e.mu.Unlock()
	c := &Committer{
		store: e.store, key: e.prefix + shard, timestampKey: e.timestampPrefix + shard, clock: e.clock, logger: e.logger.With(zap.String("Shard", shard)),
		head: previous, version: version, predecessor: previous, predecessorExpiry: expiry,
	}
	c.confirmedAt.Store(int64(now))
	next := Head{Host: e.self.Host, Address: e.self.Address, Epoch: previous.Epoch + 1, Commit: 1}
	if err := c.advance(ctx, next, nil, nil); err != nil {
		e.logger.Info("takeover failed", zap.String("Shard", shard), zap.Int64("Epoch", next.Epoch), zap.Error(err))
		return nil
	}
	e.logger.Info("took the shard over", zap.String("Shard", shard), zap.String("From", previous.Host), zap.Int64("Epoch", next.Epoch),
		zap.Int64("HeadStoodMs", int64(now-unchangedSince)), zap.Int64("PredecessorEndsInMs", int64(expiry-e.clock.Now())), zap.String("Proof", proof))
	e.setOwning(shard, c, true)
	return c
}

// runOwner runs the owner and releases the shard afterwards if this host still owns it.
func (e *Elector) runOwner(ctx context.Context, shard string, owner Owner, committer *Committer) {
	err := owner.Own(ctx, committer)
	e.logger.Info("no longer the owner", zap.String("Shard", shard), zap.Int64("Epoch", committer.Epoch()), zap.Error(err))
	if err != nil {
		e.logger.Info("shard not released after an error of the owner", zap.String("Shard", shard), zap.Error(err))
		e.setOwning(shard, committer, false)
		return
	}
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeCallTimeout.Duration())
	defer cancel()
	if err := committer.Release(release); err != nil {
		e.logger.Warn("shard not released", zap.String("Shard", shard), zap.Int64("Epoch", committer.Epoch()), zap.Error(err))
	}
	select { // lets other hosts take over first
	case <-ctx.Done():
	case <-e.clock.After(takeoverTimeout):
	}
	e.setOwning(shard, committer, false)
}

func (e *Elector) setOwning(shard string, committer *Committer, owning bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.heads[shard]
	h.owning = owning
	if owning {
		h.acquired = committer.head.Epoch
		h.head, h.version, h.known = committer.head, committer.version, true
		h.changedAt, h.liveAt = e.clock.Now(), e.clock.Now()
	}
}
