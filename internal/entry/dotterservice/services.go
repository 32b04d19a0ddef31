package dotterservice

import (
	"sync"

	"gopkg.in/tomb.v2"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// recheckMillis is how often the services are rechecked without a change, because
// a leaving announcement may have expired or a slot count may be stale.
const recheckMillis dotterclock.Millis = 200

// Options holds the dependencies and settings of Services.
type Options struct {
	FailureDomain string
	Configuration dotterelusher.Configuration
	Directory     dotterelusher.Directory
	Permits       dotterelusher.Permits
	Clock         dotterelusher.Clock
	Settings      Settings
	NewRouter     func(template string) dotterelusher.Router
}

// Services maintains one Service per template of kind Service.
type Services struct {
	options Options
	tomb    tomb.Tomb

	mu       sync.RWMutex
	services map[string]*Service
}

// NewServices creates the services and starts the goroutine that keeps them up to
// date. Close stops it.
func NewServices(options Options) *Services {
	s := &Services{options: options, services: make(map[string]*Service)}
	s.refresh()
	s.tomb.Go(s.watch)
	return s
}

// Service returns the service of the template named name, or false if there is
// none.
func (s *Services) Service(name string) (*Service, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.services[name]
	return v, ok
}

// Waiting returns the number of queued requests of all services.
func (s *Services) Waiting() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	waiting := 0
	for _, v := range s.services {
		waiting += v.Waiting()
	}
	return waiting
}

// FreeSlots returns the sum of the FreeSlots of all services.
func (s *Services) FreeSlots() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	free := 0
	for _, v := range s.services {
		free += v.FreeSlots()
	}
	return free
}

// Close stops updating the services.
func (s *Services) Close() error {
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

// watch refreshes the services whenever the configuration, the directory or the
// permits change.
func (s *Services) watch() error {
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

// awaitChange waits until one of the channels is closed and rechecks the services
// periodically meanwhile. It returns false when the services are being closed.
func (s *Services) awaitChange(configuration, directory, permits <-chan struct{}) bool {
	for {
		select {
		case <-configuration:
			return true
		case <-directory:
			return true
		case <-permits:
			return true
		case <-s.options.Clock.After(recheckMillis):
			s.recheck()
		case <-s.tomb.Dying():
			return false
		}
	}
}

func (s *Services) recheck() {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, v := range s.services {
		v.Recheck()
	}
}

// refresh updates the services to the current configuration and directory.
func (s *Services) refresh() {
	document, ok := s.options.Configuration.Current()
	if !ok {
		return
	}
	eligible := s.eligible(document)
	domainOut := document.DomainOut(s.options.FailureDomain)
	for _, t := range document.Templates {
		if t.Kind == dotterconfig.KindService {
			s.getOrCreate(t.Name).Update(eligible[t.Name], t.SharePercent, domainOut)
		}
	}
}

// eligible returns the backend servers of this failure domain that may get new
// requests, by service.
func (s *Services) eligible(document dotterconfig.Document) map[string][]dotterhost.Host {
	eligible := make(map[string][]dotterhost.Host)
	if document.DomainOut(s.options.FailureDomain) {
		return eligible
	}
	for _, h := range s.options.Directory.Hosts() {
		if h.Role != dotterhost.RoleBackend || !h.Live() {
			continue
		}
		if h.FailureDomain != s.options.FailureDomain || document.IsDraining(h.Name) {
			continue
		}
		eligible[h.Service] = append(eligible[h.Service], h)
	}
	return eligible
}

func (s *Services) getOrCreate(name string) *Service {
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
