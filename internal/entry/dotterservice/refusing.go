package dotterservice

import "github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"

// refusalLocked returns why a request that has to wait is refused at once, or nil.
func (s *Service) refusalLocked(ticket SlotRequest) *dotterrequest.Refusal {
	switch {
	case s.out:
		return dotterrequest.NotRun(dotterrequest.ReasonDomainOut, "the failure domain is out of service", noSlotsReturn)
	case len(s.servers) == 0:
		return dotterrequest.NotRun(dotterrequest.ReasonNoServer, "no live backend server", noSlotsReturn)
	case s.queue.Len() >= s.settings.QueueItems:
		return s.fullLocked(ticket)
	case s.waitLocked(s.queue.Len()) > s.patienceLocked(ticket):
		return dotterrequest.NotRun(dotterrequest.ReasonWaitTooLong, "it could not be answered in time", s.returnLocked())
	}
	return nil
}

// fullLocked returns nil when the request goes before one that waits.
func (s *Service) fullLocked(ticket SlotRequest) *dotterrequest.Refusal {
	first := s.queue.Peek()
	if first != nil && ticket.Rank < first.Rank {
		return nil
	}
	return dotterrequest.NotRun(dotterrequest.ReasonQueueFull, "the queue is full", s.returnLocked())
}

func (s *Service) displacedLocked() *dotterrequest.Refusal {
	return dotterrequest.NotRun(dotterrequest.ReasonDisplaced, "another request goes first", s.returnLocked())
}
