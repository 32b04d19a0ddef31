package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
)

const (
	// predictionLifetime is how long predictions are cached.
	predictionLifetime = 2 * dotterclock.Second

	// cautionDeviations is the number of standard deviations added to the
	// effects on latency-critical victims.
	cautionDeviations = 0.1

	// maxTemplates limits the templates with cached predictions.
	maxTemplates = 512
)

// effects caches predictions for pairs of templates by index, because scoring
// is too frequent for lookups by name.
type effects struct {
	model       *dotterinterference.Model
	refreshedAt dotterclock.Millis
	indexByName map[string]int
	names       []string
	shares      []float64
	means       [][]float32 // by victim, then aggressor; negative if not computed yet
	upperBounds [][]float32 // same layout as means
}

func newEffects(model *dotterinterference.Model) *effects {
	return &effects{model: model, indexByName: make(map[string]int)}
}

// refresh clears the cache if it has expired or holds maxTemplates templates,
// and reports whether it did.
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

// templateIndex returns the index of the named template, and adds it if needed;
// share is the dominant share of a host that one of its tasks holds.
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

// mean returns the predicted mean effect of one task of aggressor on victim.
func (e *effects) mean(victim, aggressor int) float64 {
	if row := e.means[victim]; aggressor < len(row) && row[aggressor] >= 0 {
		return float64(row[aggressor])
	}
	e.predict(victim, aggressor)
	return float64(e.means[victim][aggressor])
}

// upperBound returns the predicted effect of one task of aggressor on victim
// plus cautionDeviations standard deviations.
func (e *effects) upperBound(victim, aggressor int) float64 {
	if row := e.upperBounds[victim]; aggressor < len(row) && row[aggressor] >= 0 {
		return float64(row[aggressor])
	}
	e.predict(victim, aggressor)
	return float64(e.upperBounds[victim][aggressor])
}

// predict fills the cache for one pair from the model.
func (e *effects) predict(victim, aggressor int) {
	e.means[victim] = extendRow(e.means[victim], len(e.names))
	e.upperBounds[victim] = extendRow(e.upperBounds[victim], len(e.names))
	estimate := e.model.Predict(e.refreshedAt, e.names[victim], e.names[aggressor], e.shares[aggressor])
	e.means[victim][aggressor] = float32(estimate.Mean)
	e.upperBounds[victim][aggressor] = float32(estimate.UpperBound(cautionDeviations))
}

// appendRow appends an empty row and reuses the memory of a cleared one if
// there is any.
func appendRow(rows [][]float32) [][]float32 {
	if len(rows) == cap(rows) {
		return append(rows, nil)
	}
	rows = rows[:len(rows)+1]
	rows[len(rows)-1] = rows[len(rows)-1][:0]
	return rows
}

// extendRow returns row with at least length cells. New cells are negative,
// which means not computed.
func extendRow(row []float32, length int) []float32 {
	for len(row) < length {
		row = append(row, -1)
	}
	return row
}
