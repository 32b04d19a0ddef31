package dotterservice

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterqueue"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

const (
	latencyWeight  = 0.05 // of a new sample in the service's mean latency
	shortestReturn = 50 * dotterclock.Millis(1)
	noSlotsReturn  = dotterclock.Second
)

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
func (s *Service) Acquire(ctx context.Context, ticket Ticket) (*Grant, error) {
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
func (s *Service) TryAcquire(ticket Ticket) (*Grant, bool) {
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

// SlowAfter returns the latency that few requests pass.
func (s *Service) SlowAfter() dotterclock.Millis {
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
	s.servers = s.servers[:0:0]
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		v := known[h.Name]
		if v == nil || v.host.Incarnation != h.Incarnation {
			v = &server{}
		}
		v.host = h
		v.usable = s.usable(h.Name, sharePercent)
		s.servers = append(s.servers, v)
		names = append(names, h.Name)
	}
	s.router.Retain(names)
	s.serveLocked()
}

func (s *Service) usable(name string, sharePercent float64) int {
	usable, _ := s.permits.Slots(name)
	if sharePercent <= 0 || sharePercent >= 100 || usable == 0 {
		return usable
	}
	return max(1, int(float64(usable)*sharePercent/100))
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

// grantLocked returns a slot that is free now, or nil.
func (s *Service) grantLocked(ticket Ticket) *Grant {
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
		// The share has shrunk; the next Update tells how far.
		v.usable = v.inFlight
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

// refusalLocked returns why a request that has to wait is refused at once, or nil.
func (s *Service) refusalLocked(ticket Ticket) *dotterrequest.Refusal {
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
func (s *Service) fullLocked(ticket Ticket) *dotterrequest.Refusal {
	first := s.queue.Peek()
	if first != nil && ticket.Rank < first.Rank {
		return nil
	}
	return dotterrequest.NotRun(dotterrequest.ReasonQueueFull, "the queue is full", s.returnLocked())
}

func (s *Service) displacedLocked() *dotterrequest.Refusal {
	return dotterrequest.NotRun(dotterrequest.ReasonDisplaced, "another request goes first", s.returnLocked())
}

// patienceLocked returns how long a request may wait for its slot. One that
// could no longer be answered within its target is refused, so that those that
// are served are on time; where the service itself is too slow for the target,
// a request may wait for as long as it runs.
func (s *Service) patienceLocked(ticket Ticket) dotterclock.Millis {
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
