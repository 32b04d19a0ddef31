package dotterservice

import (
	"sync"

	"gopkg.in/tomb.v2"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// nudgeMillis is how often those who wait are looked after without a change: a
// server's own word that it leaves runs out, a count of slots may be stale.
const nudgeMillis dotterclock.Millis = 200

// Options is what Services works with.
type Options struct {
	FailureDomain string
	Configuration dotterelusher.Configuration
	Directory     dotterelusher.Directory
	Permits       dotterelusher.Permits
	Clock         dotterelusher.Clock
	Settings      Settings
	NewRouter     func(template string) dotterelusher.Router
}

// Services keeps one Service for each template of kind Service.
type Services struct {
	options Options
	life    tomb.Tomb

	mu       sync.RWMutex
	services map[string]*Service
}

// NewServices returns running services; Close ends them.
func NewServices(options Options) *Services {
	s := &Services{options: options, services: make(map[string]*Service)}
	s.refresh()
	s.life.Go(s.follow)
	return s
}

// Service returns the service of the template called name, or false.
func (s *Services) Service(name string) (*Service, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.services[name]
	return v, ok
}

// Waiting returns the number of requests in all queues.
func (s *Services) Waiting() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	waiting := 0
	for _, v := range s.services {
		waiting += v.Waiting()
	}
	return waiting
}

// FreeSlots returns the free slots that no request waits for.
func (s *Services) FreeSlots() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	free := 0
	for _, v := range s.services {
		free += v.FreeSlots()
	}
	return free
}

// Close ends the updates.
func (s *Services) Close() error {
	s.life.Kill(nil)
	return s.life.Wait()
}

// follow updates the services at every change of what they depend on.
func (s *Services) follow() error {
	for {
		configuration := s.options.Configuration.Changed()
		directory := s.options.Directory.Changed()
		permits := s.options.Permits.Changed()
		s.refresh()
		if !s.awaitChange(configuration, directory, permits) {
			return nil
		}
	}
}

// awaitChange nudges the services until one of the channels is closed, and
// reports whether the services go on.
func (s *Services) awaitChange(configuration, directory, permits <-chan struct{}) bool {
	for {
		select {
		case <-configuration:
			return true
		case <-directory:
			return true
		case <-permits:
			return true
		case <-s.options.Clock.After(nudgeMillis):
			s.nudge()
		case <-s.life.Dying():
			return false
		}
	}
}

func (s *Services) nudge() {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, v := range s.services {
		v.Nudge()
	}
}

func (s *Services) refresh() {
	document, ok := s.options.Configuration.Current()
	if !ok {
		return
	}
	eligible := s.eligible(document)
	out := document.DomainOut(s.options.FailureDomain)
	for _, t := range document.Templates {
		if t.Kind == dotterconfig.KindService {
			s.ensure(t.Name).Update(eligible[t.Name], t.SharePercent, out)
		}
	}
}

// eligible returns the backend servers that may get new requests, by service.
func (s *Services) eligible(document dotterconfig.Document) map[string][]dotterhost.Host {
	eligible := make(map[string][]dotterhost.Host)
	if document.DomainOut(s.options.FailureDomain) {
		return eligible
	}
	for _, h := range s.options.Directory.Hosts() {
		if h.Role != dotterhost.RoleBackend || !h.Live() {
			continue
		}
		if h.FailureDomain != s.options.FailureDomain || document.Drained(h.Name) {
			continue
		}
		eligible[h.Service] = append(eligible[h.Service], h)
	}
	return eligible
}

func (s *Services) ensure(name string) *Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[name]
	if v == nil {
		o := s.options
		v = New(o.Clock, o.Permits, o.NewRouter(name), o.Settings)
		s.services[name] = v
	}
	return v
}
