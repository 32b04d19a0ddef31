package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
)

const (
	// effectsSpan is how long predictions are reused.
	effectsSpan = 2 * dotterclock.Second

	// caution is the number of standard deviations added for latency-critical victims.
	caution = 0.25

	// templatesAtOnce bounds the templates for which predictions are kept ready.
	templatesAtOnce = 512
)

// effects is a table of predictions by pairs of templates, so that scoring
// costs an index instead of a lookup by name.
type effects struct {
	model    *dotterinterference.Model
	madeAt   dotterclock.Millis
	index    map[string]int
	names    []string
	shares   []float64
	rows     [][]float32 // by victim, then aggressor: mean; below 0 where not yet asked for
	cautious [][]float32 // the same with caution
}

func newEffects(model *dotterinterference.Model) *effects {
	return &effects{model: model, index: make(map[string]int)}
}

// refresh drops predictions that are too old.
func (e *effects) refresh(now dotterclock.Millis) {
	if now-e.madeAt < effectsSpan && len(e.names) < templatesAtOnce {
		return
	}
	e.madeAt = now
	clear(e.index)
	e.names = e.names[:0]
	e.shares = e.shares[:0]
	e.rows = e.rows[:0]
	e.cautious = e.cautious[:0]
}

// id returns the position of the template called name, of which a task holds share of a host.
func (e *effects) id(name string, share float64) int {
	if at, ok := e.index[name]; ok {
		return at
	}
	at := len(e.names)
	e.index[name] = at
	e.names = append(e.names, name)
	e.shares = append(e.shares, share)
	e.rows = append(e.rows, nil)
	e.cautious = append(e.cautious, nil)
	return at
}

// mean returns the predicted effect of one task of aggressor on a victim.
func (e *effects) mean(victim, aggressor int) float64 {
	e.fill(victim, aggressor)
	return float64(e.rows[victim][aggressor])
}

// careful returns the same, raised where little is known.
func (e *effects) careful(victim, aggressor int) float64 {
	e.fill(victim, aggressor)
	return float64(e.cautious[victim][aggressor])
}

func (e *effects) fill(victim, aggressor int) {
	for len(e.rows[victim]) <= aggressor {
		e.rows[victim] = append(e.rows[victim], -1)
		e.cautious[victim] = append(e.cautious[victim], -1)
	}
	if e.rows[victim][aggressor] >= 0 {
		return
	}
	estimate := e.model.Predict(e.madeAt, e.names[victim], e.names[aggressor], e.shares[aggressor])
	e.rows[victim][aggressor] = float32(estimate.Mean)
	e.cautious[victim][aggressor] = float32(estimate.Cautious(caution))
}
