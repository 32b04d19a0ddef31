package dottercomparison

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// pool simulates backend servers whose only work is to wait for a service time.
type pool struct {
	slowServer string      // name of the slowed server, or ""
	firstDead  atomic.Bool // whether the first server is dead

	mu     sync.Mutex
	random *rand.Rand
}

var _ dotterelusher.BackendClient = (*pool)(nil)

func newPool(seed uint64, slow bool) *pool {
	p := &pool{random: rand.New(rand.NewPCG(seed, seed))}
	if slow {
		p.slowServer = serverName(0)
	}
	return p
}

func serverName(i int) string {
	return fmt.Sprintf("backend-%d", i)
}

// hosts returns the host list of the pool.
func hosts(domain, service string) []dotterhost.Host {
	list := make([]dotterhost.Host, Servers)
	for i := range list {
		list[i] = dotterhost.Host{
			Name: serverName(i), FailureDomain: domain, Role: dotterhost.RoleBackend,
			State: dotterhost.StateLive, Service: service, Slots: Slots, Connections: 64,
		}
	}
	return list
}

// Send waits for a service time and returns an empty response.
func (p *pool) Send(server dotterhost.Host, request *http.Request) (*http.Response, error) {
	if p.firstDead.Load() && server.Name == serverName(0) {
		return nil, dotterelusher.ErrBackendNotSent
	}
	timer := time.NewTimer(p.serviceTime(server.Name))
	defer timer.Stop()
	select {
	case <-timer.C:
		return &http.Response{StatusCode: http.StatusOK, Header: make(http.Header), Body: http.NoBody}, nil
	case <-request.Context().Done():
		return nil, dotterelusher.ErrBackendIndeterminate
	}
}

// serviceTime draws a service time: half of the mean is fixed, the other half is the
// mean of an exponential distribution.
func (p *pool) serviceTime(name string) time.Duration {
	p.mu.Lock()
	random := p.random.ExpFloat64()
	p.mu.Unlock()
	millis := ServiceMillis/2 + ServiceMillis/2*random
	if name == p.slowServer {
		millis *= SlowFactor
	}
	return time.Duration(millis * float64(time.Millisecond))
}
