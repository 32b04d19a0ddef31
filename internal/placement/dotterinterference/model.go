package dotterinterference

import (
	"sync"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// DefaultLimit is the number of terms that a Model keeps at most.
	DefaultLimit = 1 << 15

	// priorPerShare is the effect predicted for a co-runner that holds a whole host.
	priorPerShare = 0.5

	generalVariance  = 0.04
	specificVariance = 0.04

	// noiseVariance is that of one report of a settled worker.
	noiseVariance = 0.04

	// unsettledNoise multiplies noiseVariance for a worker that was changing.
	unsettledNoise = 8

	// forgetSpan is the time after which a term without reports is as uncertain as at first.
	forgetSpan = 30 * 60 * dotterclock.Second

	// largestExcess bounds what one report can claim, so that a single absurd one does little.
	largestExcess = 20
)

// Model is the learned effects of templates on each other, safe for concurrent use.
type Model struct {
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
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Model{limit: limit, index: make(map[key]int32)}
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
	mean := priorPerShare * share
	general, generalVar := m.look(now, key{"", aggressor})
	specific, specificVar := m.look(now, key{victim, aggressor})
	return newEstimate(mean+general+specific, generalVar+specificVar)
}

func (m *Model) look(now dotterclock.Millis, k key) (mean, variance float64) {
	position, ok := m.index[k]
	if !ok {
		return 0, k.variancePrior()
	}
	t := &m.terms[position]
	return t.mean, t.aged(now)
}

// Observe takes in one report.
func (m *Model) Observe(s Sample) {
	if len(s.Corunners) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step = m.step[:0]
	predicted := 0.0
	for _, c := range s.Corunners {
		predicted += c.Weight * priorPerShare * c.Share
		predicted += m.contribute(s.At, key{"", c.Template}, c.Weight)
		predicted += m.contribute(s.At, key{s.Victim, c.Template}, c.Weight)
	}
	excess := min(max(0, s.Slowdown-1), largestExcess)
	m.correct(s.At, excess-predicted, noise(s, excess))
}

// noise returns the variance of a report; that of large slowdowns is larger.
func noise(s Sample, excess float64) float64 {
	variance := noiseVariance * (1 + excess*excess)
	if s.Unsettled {
		variance *= unsettledNoise
	}
	return variance
}

// contribute notes the term under k for this step and returns its part of the prediction.
func (m *Model) contribute(now dotterclock.Millis, k key, weight float64) float64 {
	position := m.place(now, k)
	t := &m.terms[position]
	m.step = append(m.step, contribution{position: position, weight: weight, variance: t.aged(now)})
	return weight * t.mean
}

// correct spreads surprise over the terms of this step by their uncertainty.
func (m *Model) correct(now dotterclock.Millis, surprise, noise float64) {
	total := noise
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
}

// place returns the position of the term under k, and makes one if there is none.
func (m *Model) place(now dotterclock.Millis, k key) int32 {
	if position, ok := m.index[k]; ok {
		m.terms[position].touched = true
		return position
	}
	fresh := term{key: k, variance: k.variancePrior(), at: now}
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
