package dotterinterference

import (
	"cmp"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Learned is one learned part of an effect, as it is kept outside a Model.
type Learned struct {
	Victim    string  // template; empty: all victims
	Aggressor string  // template
	Mean      float64 // above the prior's mean
	Variance  float64
}

// knownVarianceRatio is the part of the prior's variance below which a term is worth keeping.
const knownVarianceRatio = 0.5

// Learned returns the terms that reports have told something of by now, the most
// certain first, limit of them at most.
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

// Restore takes over what another model had learned by now. Terms with a variance
// that can't be are left out.
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
