package dotterinterference

import (
	"cmp"
	"math"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Learned is one learned term in the form in which it is stored outside a Model.
type Learned struct {
	Victim    string  // template; empty for the general term
	Aggressor string  // template
	Mean      float64 // relative to the prior's mean
	Variance  float64

	// What the Model's own reports tell, all added up: their precision, and the mean times it.
	OwnPrecision float64 `json:",omitempty"`
	OwnWeighted  float64 `json:",omitempty"`
}

// knownVarianceRatio is the fraction of the prior's variance below which a term
// is exported.
const knownVarianceRatio = 0.5

// Learned returns at most limit terms whose variance at now is well below the
// prior's, in order of increasing variance.
func (m *Model) Learned(now dotterclock.Millis, limit int) []Learned {
	m.mu.RLock()
	defer m.mu.RUnlock()
	known := []Learned{}
	for i := range m.terms {
		t := &m.terms[i]
		if v := t.varianceAt(now, m.prior); v < knownVarianceRatio*m.prior.variance(t.key) {
			known = append(known, Learned{Victim: t.key.victim, Aggressor: t.key.aggressor, Mean: t.mean, Variance: v, OwnPrecision: t.own.precision, OwnWeighted: t.own.weighted})
		}
	}
	slices.SortFunc(known, func(a, b Learned) int {
		return cmp.Or(cmp.Compare(a.Variance, b.Variance), cmp.Compare(a.Victim, b.Victim), cmp.Compare(a.Aggressor, b.Aggressor))
	})
	return known[:min(limit, len(known))]
}

// Restore loads terms exported by another Model, with their variances taken as
// of now. Terms with a NaN mean or a variance that isn't positive are skipped.
func (m *Model) Restore(now dotterclock.Millis, known []Learned) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restored = m.restored || len(known) > 0
	for _, l := range known {
		if !(l.Variance > 0) || l.Mean != l.Mean {
			continue
		}
		t := &m.terms[m.getOrCreate(now, key{l.Victim, l.Aggressor})]
		t.mean, t.variance, t.updatedAt = l.Mean, l.Variance, now
	}
}

// Adopt adds what another Model, which observes other workers, has learned from its own
// reports since the last call with the same source. After Restore, the first call for a source
// adds nothing: what was restored includes it.
func (m *Model) Adopt(now dotterclock.Millis, source string, known []Learned) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous, seen := m.received[source]
	received := make(map[key]information, len(known))
	for _, l := range known {
		k, total := key{l.Victim, l.Aggressor}, information{l.OwnPrecision, l.OwnWeighted}
		if !(total.precision > 0) || math.IsNaN(total.weighted) || math.IsInf(total.weighted, 0) || math.IsInf(total.precision, 0) {
			continue
		}
		received[k] = total
		added := total
		if before := previous[k]; total.precision >= before.precision {
			added = total.sub(before)
		} // otherwise the source has started anew
		if seen || !m.restored {
			m.terms[m.getOrCreate(now, k)].add(now, m.prior, added)
		}
	}
	m.received[source] = received
}
