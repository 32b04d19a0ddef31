package dotterservice

import "github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"

// refusalLocked returns the refusal of a request that can't be queued, or nil if it
// may wait.
func (s *Service) refusalLocked(request SlotRequest) *dotterrequest.Refusal {
	switch {
	case s.domainOut:
		return dotterrequest.NotRun(dotterrequest.ReasonDomainOut, "the failure domain is out of service", noSlotsRetryAfter)
	case len(s.servers) == 0:
		return dotterrequest.NotRun(dotterrequest.ReasonNoServer, "no live backend server", noSlotsRetryAfter)
	case s.queue.Len() >= s.settings.QueueItems:
		return s.fullLocked(request)
	case s.expectedWaitLocked(s.queue.Len()) > s.maxWaitLocked(request):
		return dotterrequest.NotRun(dotterrequest.ReasonWaitTooLong, "it could not be answered in time", s.retryAfterLocked())
	}
	return nil
}

// fullLocked returns the refusal of a request when the queue is full, or nil if the
// request precedes the last queued one by rank and so displaces it.
func (s *Service) fullLocked(request SlotRequest) *dotterrequest.Refusal {
	last := s.queue.Last()
	if last != nil && request.Rank < last.Rank {
		return nil
	}
	return dotterrequest.NotRun(dotterrequest.ReasonQueueFull, "the queue is full", s.retryAfterLocked())
}

// displacedLocked returns the refusal of a queued request that was displaced.
func (s *Service) displacedLocked() *dotterrequest.Refusal {
	return dotterrequest.NotRun(dotterrequest.ReasonDisplaced, "another request goes first", s.retryAfterLocked())
}
