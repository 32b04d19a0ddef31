package dottertasks

import (
	"context"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterowner"
)

// poolUse returns what all shards hold: this host's now, those of others as last heard.
func (s *Service) poolUse() dotterowner.PoolUse {
	s.mu.RLock()
	defer s.mu.RUnlock()
	sum := dotterowner.PoolUse{}
	for _, use := range s.hostUse {
		sum = sum.With(use)
	}
	return sum
}

// useTimeout bounds the question, so that a silent peer holds up nothing else.
const useTimeout dotterclock.Millis = 300

// refreshUse asks the next peer what its shards hold. One peer at a time, so that
// the cost doesn't grow with the number of hosts.
func (s *Service) refreshUse(ctx context.Context, now dotterclock.Millis) {
	s.setUse(s.options.Host, s.ownUse(ctx))
	peers := s.options.Peers.Live()
	s.removeAbsentUse(peers)
	if now < s.nextUsePoll || len(peers) == 0 {
		return
	}
	s.nextUsePoll = now + s.timing.UseInterval
	s.usePeerIndex = (s.usePeerIndex + 1) % len(peers)
	ctx, cancel := context.WithTimeout(ctx, useTimeout.Duration())
	defer cancel()
	var reply Reply
	host := peers[s.usePeerIndex].Name
	if err := s.options.Peers.Call(ctx, host, MethodUse, Call{}, &reply); err == nil && reply.Use != nil {
		s.setUse(host, *reply.Use)
	}
}

func (s *Service) answerUse(ctx context.Context, _ Call) Reply {
	use := s.ownUse(ctx)
	return Reply{Use: &use}
}

func (s *Service) ownUse(ctx context.Context) dotterowner.PoolUse {
	sum := dotterowner.PoolUse{}
	for _, name := range s.ownedShards() {
		owner, ok := s.localOwner(name)
		if !ok {
			continue
		}
		if use, err := owner.Use(ctx); err == nil {
			sum = sum.With(use)
		}
	}
	return sum
}

func (s *Service) setUse(host string, use dotterowner.PoolUse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostUse[host] = use
}

// removeAbsentUse drops what hosts held that are no longer heard from.
func (s *Service) removeAbsentUse(peers []dotterelusher.Peer) {
	live := map[string]struct{}{s.options.Host: {}}
	for _, p := range peers {
		live[p.Name] = struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for host := range s.hostUse {
		if _, ok := live[host]; !ok {
			delete(s.hostUse, host)
		}
	}
}
