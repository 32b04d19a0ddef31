package dotterrouter

import (
	"math/rand/v2"
	"slices"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// PowerOfTwo chooses the server with the lower cost of two random healthy ones.
type PowerOfTwo struct {
	random  *rand.Rand
	servers map[string]*health

	// Buffers reused between calls.
	latencies []float64 // latencies sorted for the median
	healthy   []int     // indexes of the candidates that are not ejected
	ejected   []int     // indexes of the ejected candidates
}

var _ dotterelusher.Router = (*PowerOfTwo)(nil)

// NewPowerOfTwo returns a router whose random generator is seeded with seed.
func NewPowerOfTwo(seed uint64) *PowerOfTwo {
	return &PowerOfTwo{
		random:  rand.New(rand.NewPCG(seed, seed)),
		servers: make(map[string]*health),
	}
}

// Choose returns a candidate on probation that has no request in flight, else the
// better of two random healthy candidates. If there is none, it returns the best
// ejected candidate, or false when waiting for a slot of a healthy server is
// expected to be faster.
func (p *PowerOfTwo) Choose(now dotterclock.Millis, candidates []dotterelusher.RouteCandidate, wait dotterclock.Millis) (int, bool) {
	p.healthy = p.healthy[:0]
	p.ejected = p.ejected[:0]
	for i, c := range candidates {
		h := p.health(c.Server)
		h.resetBackoff(now)
		switch {
		case !h.ejected:
			p.healthy = append(p.healthy, i)
		case h.onProbation(now) && c.InFlight == 0:
			// Hold back the next probe until the result of this one is known.
			h.ejectedUntil = now + h.ejection
			return i, true
		default:
			p.ejected = append(p.ejected, i)
		}
	}
	if len(p.healthy) > 0 {
		return p.chooseHealthy(candidates), true
	}
	return p.chooseEjected(candidates, wait)
}

// chooseHealthy returns the candidate with the lower cost of two random healthy
// ones.
func (p *PowerOfTwo) chooseHealthy(candidates []dotterelusher.RouteCandidate) int {
	a := p.random.IntN(len(p.healthy))
	first := p.healthy[a]
	if len(p.healthy) == 1 {
		return first
	}
	b := p.random.IntN(len(p.healthy) - 1)
	if b >= a {
		b++
	}
	second := p.healthy[b]
	if p.cost(candidates[second]) < p.cost(candidates[first]) {
		return second
	}
	return first
}

// chooseEjected returns the ejected candidate with the lowest cost. It returns
// false if that one is failing, or slower than waiting for a healthy server is
// expected to be; when all servers are ejected it always returns a candidate.
func (p *PowerOfTwo) chooseEjected(candidates []dotterelusher.RouteCandidate, wait dotterclock.Millis) (int, bool) {
	best := -1
	for _, i := range p.ejected {
		if best < 0 || p.preferEjected(candidates[i], candidates[best]) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	h := p.health(candidates[best].Server)
	latencyAfterWait := float64(wait) + p.median("")
	if p.anyHealthy() && (h.failing || h.latency > latencyAfterWait) {
		return 0, false
	}
	return best, true
}

// preferEjected reports whether ejected candidate a is a better choice than b:
// slow servers are preferred to failing ones, then the lower cost decides.
func (p *PowerOfTwo) preferEjected(a, b dotterelusher.RouteCandidate) bool {
	failingA, failingB := p.health(a.Server).failing, p.health(b.Server).failing
	if failingA != failingB {
		return failingB
	}
	return p.cost(a) < p.cost(b)
}

func (p *PowerOfTwo) cost(c dotterelusher.RouteCandidate) float64 {
	return p.health(c.Server).cost(c.InFlight, c.Slots)
}

// RecordResult records a result and ejects the server if it fails or is much slower than
// the others.
func (p *PowerOfTwo) RecordResult(server string, result dotterelusher.RouteResult) {
	p.health(server).record(result, p.median(server))
}

// Retain drops the state of all servers that are not in servers.
func (p *PowerOfTwo) Retain(servers []string) {
	for name := range p.servers {
		if !slices.Contains(servers, name) {
			delete(p.servers, name)
		}
	}
}

// Ejected reports whether server is ejected, which includes its probation.
func (p *PowerOfTwo) Ejected(server string) bool {
	h, ok := p.servers[server]
	return ok && h.ejected
}

func (p *PowerOfTwo) anyHealthy() bool {
	for _, h := range p.servers {
		if !h.ejected {
			return true
		}
	}
	return false
}

// median returns the median latency of the servers that have samples, excluding
// the server named except. If there are none, it returns the latency of except.
func (p *PowerOfTwo) median(except string) float64 {
	p.latencies = p.latencies[:0]
	for name, h := range p.servers {
		if name != except && h.samples > 0 {
			p.latencies = append(p.latencies, h.latency)
		}
	}
	if len(p.latencies) == 0 {
		return p.latencyOf(except)
	}
	slices.Sort(p.latencies)
	return p.latencies[len(p.latencies)/2]
}

func (p *PowerOfTwo) latencyOf(server string) float64 {
	h, ok := p.servers[server]
	if !ok {
		return 0
	}
	return h.latency
}

// health returns the record of server, which it creates if need be.
func (p *PowerOfTwo) health(server string) *health {
	h := p.servers[server]
	if h == nil {
		h = &health{}
		p.servers[server] = h
	}
	return h
}
