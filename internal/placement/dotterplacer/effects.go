package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
)

const (
	// effectsSpan is how long predictions are reused.
	effectsSpan = 2 * dotterclock.Second

	// caution is the number of standard deviations added for latency-critical victims.
	caution = 0.1

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

// refresh drops predictions that are too old and reports whether it did.
func (e *effects) refresh(now dotterclock.Millis) bool {
	if now-e.madeAt < effectsSpan && len(e.names) < templatesAtOnce {
		return false
	}
	e.madeAt = now
	clear(e.index)
	e.names = e.names[:0]
	e.shares = e.shares[:0]
	e.rows = e.rows[:0]
	e.cautious = e.cautious[:0]
	return true
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
	e.rows = appendRow(e.rows)
	e.cautious = appendRow(e.cautious)
	return at
}

// mean returns the predicted effect of one task of aggressor on a victim.
func (e *effects) mean(victim, aggressor int) float64 {
	if row := e.rows[victim]; aggressor < len(row) && row[aggressor] >= 0 {
		return float64(row[aggressor])
	}
	e.fill(victim, aggressor)
	return float64(e.rows[victim][aggressor])
}

// careful returns the same, raised where little is known.
func (e *effects) careful(victim, aggressor int) float64 {
	if row := e.cautious[victim]; aggressor < len(row) && row[aggressor] >= 0 {
		return float64(row[aggressor])
	}
	e.fill(victim, aggressor)
	return float64(e.cautious[victim][aggressor])
}

// fill asks the model for one pair.
func (e *effects) fill(victim, aggressor int) {
	e.rows[victim] = grow(e.rows[victim], len(e.names))
	e.cautious[victim] = grow(e.cautious[victim], len(e.names))
	estimate := e.model.Predict(e.madeAt, e.names[victim], e.names[aggressor], e.shares[aggressor])
	e.rows[victim][aggressor] = float32(estimate.Mean)
	e.cautious[victim][aggressor] = float32(estimate.UpperBound(caution))
}

// appendRow adds an empty row, reusing one that was there before.
func appendRow(rows [][]float32) [][]float32 {
	if len(rows) == cap(rows) {
		return append(rows, nil)
	}
	rows = rows[:len(rows)+1]
	rows[len(rows)-1] = rows[len(rows)-1][:0]
	return rows
}

// grow returns row with at least length cells, new ones not yet asked for.
func grow(row []float32, length int) []float32 {
	for len(row) < length {
		row = append(row, -1)
	}
	return row
}
