package dotterservice

import (
	"context"
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterqueue"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// latencyWeight is the weight of a new sample in the moving averages of a service's
// latency and of its deviation.
const latencyWeight = 0.05

// Service allocates slots of the backend servers of one template.
type Service struct {
	clock    dotterelusher.Clock
	permits  dotterelusher.Permits
	settings Settings

	mu           sync.Mutex
	router       dotterelusher.Router
	servers      []*server
	queue        *dotterqueue.Queue[*waiter]
	domainOut    bool    // the failure domain is out of service
	sharePercent float64 // share of a server's slots that the template may use; 0: all
	stale        bool    // Permits refused a slot that was counted as free
	latency      float64 // exponentially weighted moving average, milliseconds
	deviation    float64 // moving average of the absolute deviation from latency, milliseconds

	// Buffers reused by grantLocked.
	candidates       []dotterelusher.RouteCandidate
	candidateServers []*server // the server of each candidate
}

// New returns a service without servers; Update sets them.
func New(clock dotterelusher.Clock, permits dotterelusher.Permits, router dotterelusher.Router, settings Settings) *Service {
	return &Service{
		clock:    clock,
		permits:  permits,
		settings: settings,
		router:   router,
		queue:    dotterqueue.New[*waiter](settings.QueueItems),
	}
}

// Acquire acquires a slot and waits in the queue if none is free. The error is a
// *dotterrequest.Refusal.
func (s *Service) Acquire(ctx context.Context, request SlotRequest) (*Grant, error) {
	s.mu.Lock()
	if s.queue.Len() == 0 {
		grant := s.grantLocked(request)
		if grant != nil {
			s.mu.Unlock()
			return grant, nil
		}
	}
	refusal := s.refusalLocked(request)
	if refusal != nil {
		s.mu.Unlock()
		return nil, refusal
	}
	w := newWaiter(request)
	item := dotterqueue.NewItem(w, request.Rank, request.Deadline)
	displaced := s.queue.Push(item)
	if displaced != nil {
		displaced.Value.decision <- decision{refusal: s.displacedLocked()}
	}
	maxWait := s.maxWaitLocked(request)
	s.mu.Unlock()
	return s.await(ctx, item, maxWait)
}

// TryAcquire acquires a slot without waiting. It returns false if no slot is free
// or other requests are queued.
func (s *Service) TryAcquire(request SlotRequest) (*Grant, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Len() > 0 {
		return nil, false
	}
	grant := s.grantLocked(request)
	return grant, grant != nil
}

// Available reports whether the service has servers in a failure domain that is in
// service, and if not, the reason.
func (s *Service) Available() (bool, dotterrequest.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.domainOut {
		return false, dotterrequest.ReasonDomainOut
	}
	if len(s.servers) == 0 {
		return false, dotterrequest.ReasonNoServer
	}
	return true, ""
}

// Waiting returns the number of queued requests.
func (s *Service) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len()
}

// FreeSlots returns the number of free slots less the number of queued requests.
func (s *Service) FreeSlots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	free := 0
	for _, v := range s.servers {
		if v.hasFreeSlot(now) {
			free += v.usable - v.inFlight
		}
	}
	return max(0, free-s.queue.Len())
}

// HedgeDelay returns the time after which a request is slow enough to be hedged:
// the average latency plus four times its mean deviation, which few requests
// exceed.
func (s *Service) HedgeDelay() dotterclock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return dotterclock.Millis(s.latency+4*s.deviation) + 1
}

// Update replaces the servers. A server whose incarnation is unchanged keeps its
// state.
func (s *Service) Update(hosts []dotterhost.Host, sharePercent float64, domainOut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := make(map[string]*server, len(s.servers))
	for _, v := range s.servers {
		previous[v.host.Name] = v
	}
	s.domainOut = domainOut
	s.sharePercent = sharePercent
	s.stale = false
	s.servers = s.servers[:0:0]
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		v := previous[h.Name]
		if v == nil || v.host.Incarnation != h.Incarnation {
			v = &server{}
		}
		v.host = h
		v.usable = s.usableLocked(h.Name)
		s.servers = append(s.servers, v)
		names = append(names, h.Name)
	}
	s.router.Retain(names)
	s.grantWaitersLocked()
}

// Recheck updates the slot counts if one of them proved stale, and grants free
// slots to queued requests.
func (s *Service) Recheck() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale {
		s.stale = false
		for _, v := range s.servers {
			v.usable = s.usableLocked(v.host.Name)
		}
	}
	s.grantWaitersLocked()
}

// usableLocked returns how many slots of a server this service may use: the host's
// share, limited to sharePercent of it but not below one slot.
func (s *Service) usableLocked(name string) int {
	usable, _ := s.permits.Slots(name)
	if s.sharePercent <= 0 || s.sharePercent >= 100 || usable == 0 {
		return usable
	}
	return max(1, int(float64(usable)*s.sharePercent/100))
}

// await waits until the request of item is granted a slot or refused.
func (s *Service) await(ctx context.Context, item *dotterqueue.Item[*waiter], maxWait dotterclock.Millis) (*Grant, error) {
	w := item.Value
	select {
	case v := <-w.decision:
		return v.unpack()
	case <-ctx.Done():
		return s.stopWaiting(item, dotterrequest.ReasonCallerGone, "the caller went away")
	case <-s.clock.After(maxWait):
		return s.stopWaiting(item, dotterrequest.ReasonWaitTooLong, "no slot became free in time")
	}
}

// stopWaiting removes item from the queue. If the item has already been granted a
// slot or refused, it returns that decision instead.
func (s *Service) stopWaiting(item *dotterqueue.Item[*waiter], reason dotterrequest.Reason, text string) (*Grant, error) {
	s.mu.Lock()
	queued := s.queue.Remove(item)
	retryAfter := s.retryAfterLocked()
	s.mu.Unlock()
	if !queued {
		v := <-item.Value.decision
		return v.unpack()
	}
	return nil, dotterrequest.NotRun(reason, text, retryAfter)
}

// unpack returns the grant, or the refusal as an error.
func (v decision) unpack() (*Grant, error) {
	if v.refusal != nil {
		return nil, v.refusal
	}
	return v.grant, nil
}

func (s *Service) released(v *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.inFlight--
	s.grantWaitersLocked()
}

func (s *Service) report(v *server, result dotterelusher.RouteResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.RecordResult(v.host.Name, result)
	if result.Failed || result.Unreachable {
		return
	}
	s.observeLocked(float64(result.Latency))
}

// observeLocked updates the moving averages with a latency in milliseconds.
func (s *Service) observeLocked(latency float64) {
	if s.latency == 0 {
		s.latency = latency
		return
	}
	difference := latency - s.latency
	s.latency += latencyWeight * difference
	s.deviation += latencyWeight * (max(difference, -difference) - s.deviation)
}

func (s *Service) markLeaving(v *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.leavingUntil = s.clock.Now() + leavingTTLMillis
}
