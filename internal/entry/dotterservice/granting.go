package dotterservice

import (
	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// grantLocked returns a slot that is free now, or nil.
func (s *Service) grantLocked(ticket SlotRequest) *Grant {
	now := s.clock.Now()
	wait := s.waitLocked(s.queue.Len())
	for range s.servers {
		s.collectLocked(now, ticket.Exclude)
		i, ok := s.router.Choose(now, s.candidates, wait)
		if !ok {
			return nil
		}
		v := s.positions[i]
		permit, ok := s.permits.Slot(v.host.Name)
		if ok {
			v.inFlight++
			return &Grant{Host: v.host, service: s, server: v, permit: permit}
		}
		// The share has shrunk, or a probe has the slot; Nudge counts again.
		v.usable = v.inFlight
		s.stale = true
	}
	return nil
}

// collectLocked lists the servers that have a free slot.
func (s *Service) collectLocked(now dotterclock.Millis, exclude string) {
	s.candidates = s.candidates[:0]
	s.positions = s.positions[:0]
	var excluded *server
	for _, v := range s.servers {
		if !v.free(now) {
			continue
		}
		if v.host.Name == exclude {
			excluded = v
			continue
		}
		s.addLocked(v)
	}
	if len(s.candidates) == 0 && excluded != nil {
		s.addLocked(excluded)
	}
}

func (s *Service) addLocked(v *server) {
	s.candidates = append(s.candidates, dotterelusher.RouteCandidate{
		Server:   v.host.Name,
		Slots:    v.usable,
		InFlight: v.inFlight,
	})
	s.positions = append(s.positions, v)
}

// serveLocked hands free slots to the requests that wait.
func (s *Service) serveLocked() {
	for {
		first := s.queue.Peek()
		if first == nil {
			return
		}
		grant := s.grantLocked(first.Value.ticket)
		if grant == nil {
			return
		}
		s.queue.Remove(first)
		first.Value.verdict <- verdict{grant: grant}
	}
}
