package dotterinterference

import (
	"cmp"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Learned is one learned term in the form in which it is stored outside a Model.
type Learned struct {
	Victim    string  // template; empty for the general term
	Aggressor string  // template
	Mean      float64 // relative to the prior's mean
	Variance  float64
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
			known = append(known, Learned{Victim: t.key.victim, Aggressor: t.key.aggressor, Mean: t.mean, Variance: v})
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
	for _, l := range known {
		if !(l.Variance > 0) || l.Mean != l.Mean {
			continue
		}
		t := &m.terms[m.getOrCreate(now, key{l.Victim, l.Aggressor})]
		t.mean, t.variance, t.updatedAt = l.Mean, l.Variance, now
	}
}

// adoptRatio is the ratio of variances from which another Model's term replaces an own one.
const adoptRatio = 0.8

// Adopt replaces the terms that another Model, which sees other workers, knows with more
// certainty. Estimates are replaced and never combined, since the other Model may have
// adopted them from this one.
func (m *Model) Adopt(now dotterclock.Millis, known []Learned) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range known {
		if !(l.Variance > 0) || l.Mean != l.Mean {
			continue
		}
		t := &m.terms[m.getOrCreate(now, key{l.Victim, l.Aggressor})]
		if l.Variance < adoptRatio*t.varianceAt(now, m.prior) {
			t.mean, t.variance, t.updatedAt = l.Mean, l.Variance, now
		}
	}
}
