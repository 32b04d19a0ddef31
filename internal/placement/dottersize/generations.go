package dottersize

import "github.com/HdrHistogram/hdrhistogram-go"

const (
	// generationSamples is the number of samples after which a new generation begins.
	generationSamples = 128

	// significantFigures keeps a histogram of a billion values at about three kilobytes.
	significantFigures = 1
)

// generations is a distribution of recent values.
type generations struct {
	maxValue          int64
	current, previous *hdrhistogram.Histogram
	currentMax        int64 // exact largest value of current
	previousMax       int64 // the same of earlier
}

func newGenerations(maxValue int64) *generations {
	return &generations{maxValue: maxValue, current: hdrhistogram.New(1, maxValue, significantFigures)}
}

// add records value, cut to the range that is kept.
func (g *generations) add(value int64) {
	if g.current.TotalCount() >= generationSamples {
		g.rotate()
	}
	value = min(max(value, 0), g.maxValue)
	g.currentMax = max(g.currentMax, value)
	// The value is in range, the only thing that RecordValue checks.
	_ = g.current.RecordValue(value)
}

func (g *generations) rotate() {
	next := g.previous
	if next == nil {
		next = hdrhistogram.New(1, g.maxValue, significantFigures)
	}
	next.Reset()
	g.previous, g.previousMax = g.current, g.currentMax
	g.current, g.currentMax = next, 0
}

// quantile returns the value at percent, 0 to 100, of the fuller generation.
// The histogram rounds up; the exact peak keeps that from exceeding every value.
func (g *generations) quantile(percent float64) int64 {
	if g.previous != nil && g.current.TotalCount() < generationSamples/2 {
		return min(g.previous.ValueAtQuantile(percent), g.previousMax)
	}
	return min(g.current.ValueAtQuantile(percent), g.currentMax)
}

func (g *generations) count() int64 {
	if g.previous != nil {
		return g.previous.TotalCount() + g.current.TotalCount()
	}
	return g.current.TotalCount()
}
