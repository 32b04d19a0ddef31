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

// latencyWeight is the weight of a new sample in a service's mean latency.
const latencyWeight = 0.05

// Service hands out slots of the backend servers of one template.
type Service struct {
	clock    dotterelusher.Clock
	permits  dotterelusher.Permits
	settings Settings

	mu         sync.Mutex
	router     dotterelusher.Router
	servers    []*server
	queue      *dotterqueue.Queue[*waiter]
	out        bool    // the failure domain is out of service
	percent    float64 // most of a server's slots that the template may use
	stale      bool    // Permits refused a slot that was counted as free
	latency    float64 // decayed mean, milliseconds
	deviation  float64 // decayed mean distance from it, milliseconds
	candidates []dotterelusher.RouteCandidate
	positions  []*server // the server of each candidate
}

// New returns a service without servers.
func New(clock dotterelusher.Clock, permits dotterelusher.Permits, router dotterelusher.Router, settings Settings) *Service {
	return &Service{
		clock:    clock,
		permits:  permits,
		settings: settings,
		router:   router,
		queue:    dotterqueue.New[*waiter](settings.QueueItems),
	}
}

// Acquire returns a slot, waiting in the queue if need be, or a Refusal.
func (s *Service) Acquire(ctx context.Context, ticket SlotRequest) (*Grant, error) {
	s.mu.Lock()
	if s.queue.Len() == 0 {
		grant := s.grantLocked(ticket)
		if grant != nil {
			s.mu.Unlock()
			return grant, nil
		}
	}
	refusal := s.refusalLocked(ticket)
	if refusal != nil {
		s.mu.Unlock()
		return nil, refusal
	}
	w := newWaiter(ticket)
	item := dotterqueue.NewItem(w, ticket.Rank, ticket.Deadline)
	displaced := s.queue.Push(item)
	if displaced != nil {
		displaced.Value.verdict <- verdict{refusal: s.displacedLocked()}
	}
	patience := s.patienceLocked(ticket)
	s.mu.Unlock()
	return s.await(ctx, item, patience)
}

// TryAcquire returns a slot that is free now and wanted by no other, or false.
func (s *Service) TryAcquire(ticket SlotRequest) (*Grant, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Len() > 0 {
		return nil, false
	}
	grant := s.grantLocked(ticket)
	return grant, grant != nil
}

// Available reports whether this host may use any slot, and why it may not.
func (s *Service) Available() (bool, dotterrequest.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.out {
		return false, dotterrequest.ReasonDomainOut
	}
	if len(s.servers) == 0 {
		return false, dotterrequest.ReasonNoServer
	}
	return true, ""
}

// Waiting returns the number of requests in the queue.
func (s *Service) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len()
}

// FreeSlots returns the free slots that no request waits for.
func (s *Service) FreeSlots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	free := 0
	for _, v := range s.servers {
		if v.free(now) {
			free += v.usable - v.inFlight
		}
	}
	return max(0, free-s.queue.Len())
}

// HedgeDelay returns the latency that few requests pass.
func (s *Service) HedgeDelay() dotterclock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return dotterclock.Millis(s.latency+4*s.deviation) + 1
}

// Update replaces the servers; those that stay keep what is known about them.
func (s *Service) Update(hosts []dotterhost.Host, sharePercent float64, out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]*server, len(s.servers))
	for _, v := range s.servers {
		known[v.host.Name] = v
	}
	s.out = out
	s.percent = sharePercent
	s.stale = false
	s.servers = s.servers[:0:0]
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		v := known[h.Name]
		if v == nil || v.host.Incarnation != h.Incarnation {
			v = &server{}
		}
		v.host = h
		v.usable = s.usableLocked(h.Name)
		s.servers = append(s.servers, v)
		names = append(names, h.Name)
	}
	s.router.Retain(names)
	s.serveLocked()
}

// Nudge counts the slots again if a count proved wrong, and serves those who wait.
func (s *Service) Nudge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale {
		s.stale = false
		for _, v := range s.servers {
			v.usable = s.usableLocked(v.host.Name)
		}
	}
	s.serveLocked()
}

func (s *Service) usableLocked(name string) int {
	usable, _ := s.permits.Slots(name)
	if s.percent <= 0 || s.percent >= 100 || usable == 0 {
		return usable
	}
	return max(1, int(float64(usable)*s.percent/100))
}

func (s *Service) await(ctx context.Context, item *dotterqueue.Item[*waiter], patience dotterclock.Millis) (*Grant, error) {
	w := item.Value
	select {
	case v := <-w.verdict:
		return v.unpack()
	case <-ctx.Done():
		return s.leave(item, dotterrequest.ReasonCallerGone, "the caller went away")
	case <-s.clock.After(patience):
		return s.leave(item, dotterrequest.ReasonWaitTooLong, "no slot became free in time")
	}
}

// leave takes item out of the queue; a grant that came meanwhile is used.
func (s *Service) leave(item *dotterqueue.Item[*waiter], reason dotterrequest.Reason, text string) (*Grant, error) {
	s.mu.Lock()
	queued := s.queue.Remove(item)
	after := s.returnLocked()
	s.mu.Unlock()
	if !queued {
		v := <-item.Value.verdict
		return v.unpack()
	}
	return nil, dotterrequest.NotRun(reason, text, after)
}

func (v verdict) unpack() (*Grant, error) {
	if v.refusal != nil {
		return nil, v.refusal
	}
	return v.grant, nil
}

func (s *Service) released(v *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.inFlight--
	s.serveLocked()
}

func (s *Service) report(v *server, result dotterelusher.RouteResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.Ended(v.host.Name, result)
	if result.Failed || result.Unreachable {
		return
	}
	s.observeLocked(float64(result.Latency))
}

func (s *Service) observeLocked(latency float64) {
	if s.latency == 0 {
		s.latency = latency
		return
	}
	distance := latency - s.latency
	s.latency += latencyWeight * distance
	s.deviation += latencyWeight * (max(distance, -distance) - s.deviation)
}

func (s *Service) markLeaving(v *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.leavingUntil = s.clock.Now() + leavingMillis
}
