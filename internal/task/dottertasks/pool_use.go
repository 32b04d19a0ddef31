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
	for _, use := range s.peerUse {
		sum = sum.Add(use)
	}
	return sum
}

// useTimeout bounds the question, so that a silent peer holds up nothing else.
const useTimeout dotterclock.Millis = 300

// askUse asks the next peer what its shards hold. One peer at a time, so that
// the cost doesn't grow with the number of hosts.
func (s *Service) askUse(ctx context.Context, now dotterclock.Millis) {
	s.noteUse(s.options.Host, s.ownUse(ctx))
	peers := s.options.Peers.Live()
	s.forgetUse(peers)
	if now < s.useAt || len(peers) == 0 {
		return
	}
	s.useAt = now + s.timing.UseInterval
	s.usePeer = (s.usePeer + 1) % len(peers)
	ctx, cancel := context.WithTimeout(ctx, useTimeout.Duration())
	defer cancel()
	var reply Reply
	host := peers[s.usePeer].Name
	if err := s.options.Peers.Call(ctx, host, MethodUse, Call{}, &reply); err == nil && reply.Use != nil {
		s.noteUse(host, *reply.Use)
	}
}

func (s *Service) answerUse(ctx context.Context, _ Call) Reply {
	use := s.ownUse(ctx)
	return Reply{Use: &use}
}

func (s *Service) ownUse(ctx context.Context) dotterowner.PoolUse {
	sum := dotterowner.PoolUse{}
	for _, name := range s.owned() {
		owner, ok := s.own(name)
		if !ok {
			continue
		}
		if use, err := owner.Use(ctx); err == nil {
			sum = sum.Add(use)
		}
	}
	return sum
}

func (s *Service) noteUse(host string, use dotterowner.PoolUse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerUse[host] = use
}

// forgetUse drops what hosts held that are no longer heard from.
func (s *Service) forgetUse(peers []dotterelusher.Peer) {
	live := map[string]struct{}{s.options.Host: {}}
	for _, p := range peers {
		live[p.Name] = struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for host := range s.peerUse {
		if _, ok := live[host]; !ok {
			delete(s.peerUse, host)
		}
	}
}
