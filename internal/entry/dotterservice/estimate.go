package dotterservice

import (
	"math/rand/v2"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	shortestReturn = 50 * dotterclock.Millisecond
	noSlotsReturn  = dotterclock.Second
)

// patienceLocked returns how long a request may wait for its slot. One that
// could no longer be answered within its target is refused, so that those that
// are served are on time; where the service itself is too slow for the target,
// a request may wait for as long as it runs.
func (s *Service) patienceLocked(ticket SlotRequest) dotterclock.Millis {
	latency := dotterclock.Millis(s.latency)
	left := ticket.Deadline - s.clock.Now() - latency
	patience := min(left, s.settings.QueueWaitMillis)
	if ticket.Target > 0 {
		patience = min(patience, max(ticket.Target-latency, latency))
	}
	return patience
}

// waitLocked returns the expected wait of a request with ahead others before it.
func (s *Service) waitLocked(ahead int) dotterclock.Millis {
	slots := 0
	for _, v := range s.servers {
		slots += v.usable
	}
	if slots == 0 {
		return 0
	}
	return dotterclock.Millis(float64(ahead+1) * s.latency / float64(slots))
}

// returnLocked returns when a refused request is worth repeating: once those
// that wait have been served, spread so that they don't all return together.
func (s *Service) returnLocked() dotterclock.Millis {
	backlog := s.waitLocked(s.queue.Len()) + dotterclock.Millis(s.latency)
	base := max(shortestReturn, backlog)
	return base + rand.N(base)
}
