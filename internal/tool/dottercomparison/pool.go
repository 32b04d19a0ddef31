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

// pool is backend servers that only wait.
type pool struct {
	slow string      // name of the server that is slowed, or ""
	dead atomic.Bool // whether the first server is dead

	mu     sync.Mutex
	random *rand.Rand
}

var _ dotterelusher.BackendClient = (*pool)(nil)

func newPool(seed uint64, slow bool) *pool {
	p := &pool{random: rand.New(rand.NewPCG(seed, seed))}
	if slow {
		p.slow = serverName(0)
	}
	return p
}

func serverName(i int) string {
	return fmt.Sprintf("backend-%d", i)
}

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

// Send waits for a service time and answers.
func (p *pool) Send(server dotterhost.Host, request *http.Request) (*http.Response, error) {
	if p.dead.Load() && server.Name == serverName(0) {
		return nil, dotterelusher.ErrBackendNotSent
	}
	timer := time.NewTimer(p.span(server.Name))
	defer timer.Stop()
	select {
	case <-timer.C:
		return &http.Response{StatusCode: http.StatusOK, Header: make(http.Header), Body: http.NoBody}, nil
	case <-request.Context().Done():
		return nil, dotterelusher.ErrBackendIndeterminate
	}
}

// span draws a service time: half of the mean is fixed, half exponential.
func (p *pool) span(name string) time.Duration {
	p.mu.Lock()
	random := p.random.ExpFloat64()
	p.mu.Unlock()
	millis := ServiceMillis/2 + ServiceMillis/2*random
	if name == p.slow {
		millis *= SlowFactor
	}
	return time.Duration(millis * float64(time.Millisecond))
}
