package dotterservice

import (
	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// grantLocked acquires a slot of the server that the router chooses among those
// with a free slot. It returns nil if there is none or the router prefers to wait.
func (s *Service) grantLocked(request SlotRequest) *Grant {
	now := s.clock.Now()
	wait := s.expectedWaitLocked(s.queue.Len())
	for range s.servers {
		s.collectCandidatesLocked(now, request.Exclude)
		i, ok := s.router.Choose(now, s.candidates, wait)
		if !ok {
			return nil
		}
		v := s.candidateServers[i]
		permit, ok := s.permits.Slot(v.host.Name)
		if ok {
			v.inFlight++
			return &Grant{Host: v.host, service: s, server: v, permit: permit}
		}
		// The host's share was reduced or a connection probe holds the slot. Count
		// the server as full until Recheck reads its slots again.
		v.usable = v.inFlight
		s.stale = true
	}
	return nil
}

// collectCandidatesLocked sets s.candidates to the servers that have a free slot.
// The server named exclude is a candidate only if there is no other.
func (s *Service) collectCandidatesLocked(now dotterclock.Millis, exclude string) {
	s.candidates = s.candidates[:0]
	s.candidateServers = s.candidateServers[:0]
	var excluded *server
	for _, v := range s.servers {
		if !v.hasFreeSlot(now) {
			continue
		}
		if v.host.Name == exclude {
			excluded = v
			continue
		}
		s.addCandidateLocked(v)
	}
	if len(s.candidates) == 0 && excluded != nil {
		s.addCandidateLocked(excluded)
	}
}

func (s *Service) addCandidateLocked(v *server) {
	s.candidates = append(s.candidates, dotterelusher.RouteCandidate{
		Server:   v.host.Name,
		Slots:    v.usable,
		InFlight: v.inFlight,
	})
	s.candidateServers = append(s.candidateServers, v)
}

// grantWaitersLocked grants free slots to queued requests in queue order.
func (s *Service) grantWaitersLocked() {
	for {
		first := s.queue.Peek()
		if first == nil {
			return
		}
		grant := s.grantLocked(first.Value.request)
		if grant == nil {
			return
		}
		s.queue.Remove(first)
		first.Value.decision <- decision{grant: grant}
	}
}
