package dotterrouter

import (
	"math/rand/v2"
	"slices"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// PowerOfTwo chooses the better of two random servers that are in order.
type PowerOfTwo struct {
	random  *rand.Rand
	servers map[string]*health
	sorted  []float64 // scratch for the median
	good    []int     // scratch: candidates in order
	others  []int     // scratch: ejected candidates
}

var _ dotterelusher.Router = (*PowerOfTwo)(nil)

// NewPowerOfTwo returns a router whose random choices follow from seed.
func NewPowerOfTwo(seed uint64) *PowerOfTwo {
	return &PowerOfTwo{
		random:  rand.New(rand.NewPCG(seed, seed)),
		servers: make(map[string]*health),
	}
}

// Choose returns the better of two candidates in order, one on probation, or
// the best of the ejected ones when that is expected to be sooner than waiting.
func (p *PowerOfTwo) Choose(now dotterclock.Millis, candidates []dotterelusher.RouteCandidate, wait dotterclock.Millis) (int, bool) {
	p.good = p.good[:0]
	p.others = p.others[:0]
	for i, c := range candidates {
		h := p.health(c.Server)
		h.settle(now)
		switch {
		case !h.ejected:
			p.good = append(p.good, i)
		case h.onProbation(now) && c.InFlight == 0:
			// The next probe waits for this one's result.
			h.until = now + h.ejection
			return i, true
		default:
			p.others = append(p.others, i)
		}
	}
	if len(p.good) > 0 {
		return p.better(candidates), true
	}
	return p.lastResort(candidates, wait)
}

// better returns the one with the lower cost of two random candidates in order.
func (p *PowerOfTwo) better(candidates []dotterelusher.RouteCandidate) int {
	a := p.random.IntN(len(p.good))
	first := p.good[a]
	if len(p.good) == 1 {
		return first
	}
	b := p.random.IntN(len(p.good) - 1)
	if b >= a {
		b++
	}
	second := p.good[b]
	if p.cost(candidates[second]) < p.cost(candidates[first]) {
		return second
	}
	return first
}

// lastResort returns the cheapest ejected candidate, unless a request that
// waits is expected to be answered sooner.
func (p *PowerOfTwo) lastResort(candidates []dotterelusher.RouteCandidate, wait dotterclock.Millis) (int, bool) {
	best := -1
	for _, i := range p.others {
		if best < 0 || p.cheaper(candidates[i], candidates[best]) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	h := p.health(candidates[best].Server)
	waiting := float64(wait) + p.median("")
	if p.anyInOrder() && (h.failing || h.latency > waiting) {
		return 0, false
	}
	return best, true
}

func (p *PowerOfTwo) cheaper(a, b dotterelusher.RouteCandidate) bool {
	failingA, failingB := p.health(a.Server).failing, p.health(b.Server).failing
	if failingA != failingB {
		return failingB
	}
	return p.cost(a) < p.cost(b)
}

func (p *PowerOfTwo) cost(c dotterelusher.RouteCandidate) float64 {
	return p.health(c.Server).cost(c.InFlight, c.Slots)
}

// Ended takes in a result and ejects a server that fails or is far slower than the others.
func (p *PowerOfTwo) Ended(server string, result dotterelusher.RouteResult) {
	p.health(server).add(result, p.median(server))
}

// Retain forgets the servers that are not in servers.
func (p *PowerOfTwo) Retain(servers []string) {
	for name := range p.servers {
		if !slices.Contains(servers, name) {
			delete(p.servers, name)
		}
	}
}

// Ejected reports whether server is left out at present.
func (p *PowerOfTwo) Ejected(server string) bool {
	h, ok := p.servers[server]
	return ok && h.ejected
}

func (p *PowerOfTwo) anyInOrder() bool {
	for _, h := range p.servers {
		if !h.ejected {
			return true
		}
	}
	return false
}

// median returns the median latency of the servers with samples, but for except.
func (p *PowerOfTwo) median(except string) float64 {
	p.sorted = p.sorted[:0]
	for name, h := range p.servers {
		if name != except && h.samples > 0 {
			p.sorted = append(p.sorted, h.latency)
		}
	}
	if len(p.sorted) == 0 {
		return p.latencyOf(except)
	}
	slices.Sort(p.sorted)
	return p.sorted[len(p.sorted)/2]
}

func (p *PowerOfTwo) latencyOf(server string) float64 {
	h, ok := p.servers[server]
	if !ok {
		return 0
	}
	return h.latency
}

func (p *PowerOfTwo) health(server string) *health {
	h := p.servers[server]
	if h == nil {
		h = &health{}
		p.servers[server] = h
	}
	return h
}
