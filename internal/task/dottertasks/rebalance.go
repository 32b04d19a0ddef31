package dottertasks

import (
	"context"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershard"
)

// handOver stops the owner of a shard and releases the shard so that another host
// can claim it.
func (s *Service) handOver(ctx context.Context, name dottershard.Name) {
	owner, ok := s.localOwner(name)
	if !ok {
		return
	}
	owner.Stop()
	s.release(ctx, name)
	s.vacantSince[name] = s.options.Clock.Now()
}

// handOverAll hands over all shards of this host and revokes its store lease.
func (s *Service) handOverAll() {
	ctx, cancel := context.WithTimeout(context.Background(), s.timing.CallTimeout.Duration())
	defer cancel()
	for _, name := range s.ownedShards() {
		s.handOver(ctx, name)
	}
	if s.lease != "" {
		_ = s.options.Store.Revoke(ctx, s.lease)
	}
}

// rebalance hands over at most one shard that another host should have owned for
// at least the rebalance delay.
func (s *Service) rebalance(ctx context.Context, now dotterclock.Millis) {
	for _, name := range s.ownedShards() {
		if s.shouldOwn(name) {
			delete(s.misplacedSince, name)
			continue
		}
		since, noted := s.misplacedSince[name]
		if !noted {
			s.misplacedSince[name] = now
			continue
		}
		if now >= since+s.timing.RebalanceDelay {
			delete(s.misplacedSince, name)
			s.handOver(ctx, name)
			return
		}
	}
}

// shouldOwn reports whether no live host is preferred to this one as the owner of
// the shard.
func (s *Service) shouldOwn(name dottershard.Name) bool {
	if name.FailureDomain == s.options.FailureDomain {
		return dottershard.RankHosts(name, s.candidates(name))[0] == s.options.Host
	}
	for _, p := range s.options.Peers.Live() {
		if p.FailureDomain == name.FailureDomain && !p.Leaving {
			return false
		}
	}
	return true
}
