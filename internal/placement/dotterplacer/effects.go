package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
)

const (
	// predictionLifetime is how long predictions are reused.
	predictionLifetime = 2 * dotterclock.Second

	// cautionDeviations is the number of standard deviations added for latency-critical victims.
	cautionDeviations = 0.1

	// maxTemplates bounds the templates for which predictions are kept ready.
	maxTemplates = 512
)

// effects is a table of predictions by pairs of templates, so that scoring
// costs an index instead of a lookup by name.
type effects struct {
	model       *dotterinterference.Model
	refreshedAt dotterclock.Millis
	indexByName map[string]int
	names       []string
	shares      []float64
	means       [][]float32 // by victim, then aggressor: mean; below 0 where not yet asked for
	upperBounds [][]float32 // the same with caution
}

func newEffects(model *dotterinterference.Model) *effects {
	return &effects{model: model, indexByName: make(map[string]int)}
}

// refresh drops predictions that are too old and reports whether it did.
func (e *effects) refresh(now dotterclock.Millis) bool {
	if now-e.refreshedAt < predictionLifetime && len(e.names) < maxTemplates {
		return false
	}
	e.refreshedAt = now
	clear(e.indexByName)
	e.names = e.names[:0]
	e.shares = e.shares[:0]
	e.means = e.means[:0]
	e.upperBounds = e.upperBounds[:0]
	return true
}

// template returns the position of the template called name, of which a task holds share of a host.
func (e *effects) templateIndex(name string, share float64) int {
	if at, ok := e.indexByName[name]; ok {
		return at
	}
	at := len(e.names)
	e.indexByName[name] = at
	e.names = append(e.names, name)
	e.shares = append(e.shares, share)
	e.means = appendRow(e.means)
	e.upperBounds = appendRow(e.upperBounds)
	return at
}

// mean returns the predicted effect of one task of aggressor on a victim.
func (e *effects) mean(victim, aggressor int) float64 {
	if row := e.means[victim]; aggressor < len(row) && row[aggressor] >= 0 {
		return float64(row[aggressor])
	}
	e.predict(victim, aggressor)
	return float64(e.means[victim][aggressor])
}

// upperBound returns the same, raised where little is known.
func (e *effects) upperBound(victim, aggressor int) float64 {
	if row := e.upperBounds[victim]; aggressor < len(row) && row[aggressor] >= 0 {
		return float64(row[aggressor])
	}
	e.predict(victim, aggressor)
	return float64(e.upperBounds[victim][aggressor])
}

// predict asks the model for one pair.
func (e *effects) predict(victim, aggressor int) {
	e.means[victim] = extendRow(e.means[victim], len(e.names))
	e.upperBounds[victim] = extendRow(e.upperBounds[victim], len(e.names))
	estimate := e.model.Predict(e.refreshedAt, e.names[victim], e.names[aggressor], e.shares[aggressor])
	e.means[victim][aggressor] = float32(estimate.Mean)
	e.upperBounds[victim][aggressor] = float32(estimate.UpperBound(cautionDeviations))
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

// extendRow returns row with at least length cells, new ones not yet asked for.
func extendRow(row []float32, length int) []float32 {
	for len(row) < length {
		row = append(row, -1)
	}
	return row
}
