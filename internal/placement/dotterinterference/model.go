package dotterinterference

import (
	"math"
	"sync"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// DefaultLimit is the number of terms that a Model keeps at most.
	DefaultLimit = 1 << 15

	// largestExcess bounds what one report can claim, so that a single absurd one does little.
	largestExcess = 20
)

// Model is the learned effects of templates on each other, safe for concurrent use.
type Model struct {
	prior Prior

	mu    sync.RWMutex
	limit int
	terms []term
	index map[key]int32
	hand  int
	step  []contribution
}

// contribution is a term's part in one report.
type contribution struct {
	position int32
	weight   float64
	variance float64
}

// New returns a Model that keeps at most limit terms; 0 means DefaultLimit.
func New(limit int) *Model {
	return NewWithPrior(limit, DefaultPrior())
}

// NewWithPrior is New with what is assumed before anything is learned.
func NewWithPrior(limit int, prior Prior) *Model {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Model{prior: prior, limit: limit, index: make(map[key]int32)}
}

// Len returns the number of terms learned.
func (m *Model) Len() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.terms)
}

// Predict returns the effect on a task of template victim of one task of
// template aggressor that holds share of the host.
func (m *Model) Predict(now dotterclock.Millis, victim, aggressor string, share float64) Estimate {
	m.mu.RLock()
	defer m.mu.RUnlock()
	mean := m.prior.PerShare * share
	general, generalVar := m.look(now, key{"", aggressor})
	specific, specificVar := m.look(now, key{victim, aggressor})
	return newEstimate(mean+general+specific, generalVar+specificVar)
}

func (m *Model) look(now dotterclock.Millis, k key) (mean, variance float64) {
	position, ok := m.index[k]
	if !ok {
		return 0, m.prior.variance(k)
	}
	t := &m.terms[position]
	return t.mean, t.aged(now, m.prior)
}

// Observe takes in one report and returns what is now known of the victim's own part.
func (m *Model) Observe(s Sample) Estimate {
	if len(s.Corunners) == 0 && s.SelfEffect == (Estimate{}) {
		return s.SelfEffect
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step = m.step[:0]
	predicted := s.SelfEffect.Mean
	for _, c := range s.Corunners {
		predicted += c.Weight * m.prior.PerShare * c.Share
		predicted += m.contribute(s.At, key{"", c.Template}, c.Weight)
		predicted += m.contribute(s.At, key{s.Victim, c.Template}, c.Weight)
	}
	excess := min(max(0, s.Slowdown-1), largestExcess)
	surprise := excess - predicted
	if s.Capped && surprise < 0 {
		return s.SelfEffect
	}
	variance := s.SelfEffect.Deviation * s.SelfEffect.Deviation
	gain := m.correct(s.At, surprise, m.noise(s, excess), variance)
	return Estimate{Mean: s.SelfEffect.Mean + gain*surprise, Deviation: math.Sqrt(variance * (1 - gain))}
}

// noise returns the variance of a report; that of large slowdowns is larger.
func (m *Model) noise(s Sample, excess float64) float64 {
	variance := m.prior.NoiseVariance * (1 + m.prior.ExcessNoise*excess*excess)
	if s.Unsettled {
		variance *= m.prior.UnsettledNoise
	}
	return variance
}

// contribute notes the term under k for this step and returns its part of the prediction.
func (m *Model) contribute(now dotterclock.Millis, k key, weight float64) float64 {
	position := m.place(now, k)
	t := &m.terms[position]
	m.step = append(m.step, contribution{position: position, weight: weight, variance: t.aged(now, m.prior)})
	return weight * t.mean
}

// correct spreads surprise over the terms of this step by their uncertainty; it
// returns the part that goes to the victim's own, which has the variance own.
func (m *Model) correct(now dotterclock.Millis, surprise, noise, own float64) float64 {
	total := noise + own
	for _, c := range m.step {
		total += c.weight * c.weight * c.variance
	}
	for _, c := range m.step {
		t := &m.terms[c.position]
		gain := c.weight * c.variance / total
		t.mean += gain * surprise
		t.variance = c.variance * (1 - gain*c.weight)
		t.at = max(t.at, now)
	}
	return own / total
}

// place returns the position of the term under k, and makes one if there is none.
func (m *Model) place(now dotterclock.Millis, k key) int32 {
	if position, ok := m.index[k]; ok {
		m.terms[position].touched = true
		return position
	}
	fresh := term{key: k, variance: m.prior.variance(k), at: now}
	if len(m.terms) < m.limit {
		m.terms = append(m.terms, fresh)
		position := int32(len(m.terms) - 1)
		m.index[k] = position
		return position
	}
	position := m.replaceable()
	delete(m.index, m.terms[position].key)
	m.terms[position] = fresh
	m.index[k] = position
	return position
}

// replaceable returns a position not touched since the hand passed it last.
func (m *Model) replaceable() int32 {
	for m.terms[m.hand].touched {
		m.terms[m.hand].touched = false
		m.hand = (m.hand + 1) % len(m.terms)
	}
	position := m.hand
	m.hand = (m.hand + 1) % len(m.terms)
	return int32(position)
}
