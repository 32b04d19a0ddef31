package dotterservice

import (
	"math/rand/v2"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	minRetryAfter     = 50 * dotterclock.Millisecond
	noSlotsRetryAfter = dotterclock.Second // when the domain is out or there is no server
)

// maxWaitLocked returns how long a request may wait for a slot. A request that
// would miss its target latency is refused, so that the requests that are served
// meet theirs. If the service is too slow to meet the target at all, a request
// may wait as long as the average request takes.
func (s *Service) maxWaitLocked(request SlotRequest) dotterclock.Millis {
	latency := dotterclock.Millis(s.latency)
	untilLatestStart := request.Deadline - s.clock.Now() - latency
	maxWait := min(untilLatestStart, s.settings.QueueWaitMillis)
	if request.Target > 0 {
		maxWait = min(maxWait, max(request.Target-latency, latency))
	}
	return maxWait
}

// expectedWaitLocked estimates how long a request waits that has ahead others
// before it in the queue. It returns 0 if there are no usable slots.
func (s *Service) expectedWaitLocked(ahead int) dotterclock.Millis {
	slots := 0
	for _, v := range s.servers {
		slots += v.usable
	}
	if slots == 0 {
		return 0
	}
	return dotterclock.Millis(float64(ahead+1) * s.latency / float64(slots))
}

// retryAfterLocked returns the retry delay of a refused request: the time expected
// to work off the queue, with random jitter so that refused callers don't all
// retry at the same time.
func (s *Service) retryAfterLocked() dotterclock.Millis {
	backlog := s.expectedWaitLocked(s.queue.Len()) + dotterclock.Millis(s.latency)
	base := max(minRetryAfter, backlog)
	return base + rand.N(base)
}
