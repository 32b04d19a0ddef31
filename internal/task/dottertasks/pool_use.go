package dottertasks

import (
	"context"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterowner"
)

// poolUse returns the use of all shards, as last reported by their hosts.
func (s *Service) poolUse() dotterowner.PoolUse {
	s.mu.RLock()
	defer s.mu.RUnlock()
	sum := dotterowner.PoolUse{}
	for _, use := range s.hostUse {
		sum = sum.Add(use)
	}
	return sum
}

// useTimeout is the timeout of a request for a peer's use. It is short so that an
// unresponsive peer does not delay the rest of the loop.
const useTimeout dotterclock.Millis = 300

// refreshUse updates the use of this host's shards and requests that of the next
// peer. It asks one peer at a time so that the cost does not grow with the number
// of hosts.
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

// ownUse returns the use of this host's shards.
func (s *Service) ownUse(ctx context.Context) dotterowner.PoolUse {
	sum := dotterowner.PoolUse{}
	for _, name := range s.ownedShards() {
		owner, ok := s.localOwner(name)
		if !ok {
			continue
		}
		if use, err := owner.Use(ctx); err == nil {
			sum = sum.Add(use)
		}
	}
	return sum
}

func (s *Service) setUse(host string, use dotterowner.PoolUse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostUse[host] = use
}

// removeAbsentUse removes the use of hosts that are no longer live.
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
