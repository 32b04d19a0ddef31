package dotterinterference

import (
	"math"
	"sync"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// DefaultLimit is the default for the largest number of terms in a Model.
	DefaultLimit = 1 << 15

	// maxExcess caps the excess of a report, to limit the effect of outliers.
	maxExcess = 20
)

// Model holds the learned effects of templates on each other. It is safe for
// concurrent use.
type Model struct {
	prior Prior

	mu            sync.RWMutex
	maxTerms      int
	terms         []term
	index         map[key]int32
	clockHand     int
	contributions []contribution
	restored      bool                           // Restore has loaded terms
	received      map[string]map[key]information // by source: what Adopt has received, in all
}

// contribution is the part of a term in the prediction for one report.
type contribution struct {
	position int32
	weight   float64
	variance float64
}

// New returns a Model with the default prior that keeps at most limit terms;
// 0 means DefaultLimit.
func New(limit int) *Model {
	return NewWithPrior(limit, DefaultPrior())
}

// NewWithPrior is like New, but with the given prior.
func NewWithPrior(limit int, prior Prior) *Model {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Model{prior: prior, maxTerms: limit, index: make(map[key]int32), received: make(map[string]map[key]information)}
}

// Len returns the number of terms in the table.
func (m *Model) Len() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.terms)
}

// Predict estimates the effect of one task of template aggressor, which holds
// the given share of the host, on a task of template victim.
func (m *Model) Predict(now dotterclock.Millis, victim, aggressor string, share float64) Estimate {
	m.mu.RLock()
	defer m.mu.RUnlock()
	mean := m.prior.PerShare * share
	general, generalVar := m.lookup(now, key{"", aggressor})
	specific, specificVar := m.lookup(now, key{victim, aggressor})
	return newEstimate(mean+general+specific, generalVar+specificVar)
}

func (m *Model) lookup(now dotterclock.Millis, k key) (mean, variance float64) {
	position, ok := m.index[k]
	if !ok {
		return 0, m.prior.variance(k)
	}
	t := &m.terms[position]
	return t.mean, t.varianceAt(now, m.prior)
}

// Observe updates the model with one report and returns the updated estimate
// of s.SelfEffect. A censored report updates nothing if its excess is less than
// predicted.
func (m *Model) Observe(s Sample) Estimate {
	if len(s.Corunners) == 0 && s.SelfEffect == (Estimate{}) {
		return s.SelfEffect
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contributions = m.contributions[:0]
	predicted := s.SelfEffect.Mean
	for _, c := range s.Corunners {
		predicted += c.Weight * m.prior.PerShare * c.Share
		predicted += m.addContribution(s.At, key{"", c.Template}, c.Weight)
		predicted += m.addContribution(s.At, key{s.Victim, c.Template}, c.Weight)
	}
	excess := min(max(0, s.Slowdown-1), maxExcess)
	innovation := excess - predicted
	if s.Censored && innovation < 0 {
		return s.SelfEffect
	}
	selfVariance := s.SelfEffect.Deviation * s.SelfEffect.Deviation
	gain := m.update(s.At, innovation, m.noiseVariance(s, excess), selfVariance)
	return Estimate{Mean: s.SelfEffect.Mean + gain*innovation, Deviation: math.Sqrt(selfVariance * (1 - gain))}
}

// noiseVariance returns the variance of the noise in a report, which grows with
// the reported excess.
func (m *Model) noiseVariance(s Sample, excess float64) float64 {
	variance := m.prior.NoiseVariance * (1 + m.prior.ExcessNoise*excess*excess)
	if s.Unsettled {
		variance *= m.prior.UnsettledNoise
	}
	return variance
}

// addContribution adds the term k to the current update and returns its part of
// the predicted excess.
func (m *Model) addContribution(now dotterclock.Millis, k key, weight float64) float64 {
	position := m.getOrCreate(now, k)
	t := &m.terms[position]
	m.contributions = append(m.contributions, contribution{position: position, weight: weight, variance: t.varianceAt(now, m.prior)})
	return weight * t.mean
}

// update distributes the innovation over the contributing terms in proportion to
// their variance. It returns the Kalman gain of the victim's self effect, whose
// variance is selfVariance.
func (m *Model) update(now dotterclock.Millis, innovation, noiseVariance, selfVariance float64) float64 {
	total := noiseVariance + selfVariance
	for _, c := range m.contributions {
		total += c.weight * c.weight * c.variance
	}
	for _, c := range m.contributions {
		t := &m.terms[c.position]
		gain := c.weight * c.variance / total
		before := informationOf(t.mean, c.variance)
		t.mean += gain * innovation
		t.variance = c.variance * (1 - gain*c.weight)
		gained := informationOf(t.mean, t.variance).sub(before)
		t.own.precision += gained.precision
		t.own.weighted += gained.weighted
		t.updatedAt = max(t.updatedAt, now)
	}
	return selfVariance / total
}

// getOrCreate returns the position of the term k. If there is none, it adds one,
// in place of another term if the table is full.
func (m *Model) getOrCreate(now dotterclock.Millis, k key) int32 {
	if position, ok := m.index[k]; ok {
		m.terms[position].referenced = true
		return position
	}
	added := term{key: k, variance: m.prior.variance(k), updatedAt: now}
	if len(m.terms) < m.maxTerms {
		m.terms = append(m.terms, added)
		position := int32(len(m.terms) - 1)
		m.index[k] = position
		return position
	}
	position := m.nextEvictable()
	delete(m.index, m.terms[position].key)
	m.terms[position] = added
	m.index[k] = position
	return position
}

// nextEvictable advances the clock hand to a term that was not referenced since
// the hand last passed it, and returns its position.
func (m *Model) nextEvictable() int32 {
	for m.terms[m.clockHand].referenced {
		m.terms[m.clockHand].referenced = false
		m.clockHand = (m.clockHand + 1) % len(m.terms)
	}
	position := m.clockHand
	m.clockHand = (m.clockHand + 1) % len(m.terms)
	return int32(position)
}
