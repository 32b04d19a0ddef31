package dottersize

import "github.com/HdrHistogram/hdrhistogram-go"

const (
	// generationSamples is the number of samples per generation.
	generationSamples = 128

	// significantFigures limits the size of a histogram with values up to a
	// billion to about three kilobytes.
	significantFigures = 1
)

// generations is a distribution of recent values in two generations of
// histograms.
type generations struct {
	maxValue          int64
	current, previous *hdrhistogram.Histogram
	currentMax        int64 // exact largest value in current
	previousMax       int64 // exact largest value in previous
}

func newGenerations(maxValue int64) *generations {
	return &generations{maxValue: maxValue, current: hdrhistogram.New(1, maxValue, significantFigures)}
}

// add records value, clamped to the range from 0 to maxValue.
func (g *generations) add(value int64) {
	if g.current.TotalCount() >= generationSamples {
		g.rotate()
	}
	value = min(max(value, 0), g.maxValue)
	g.currentMax = max(g.currentMax, value)
	// RecordValue only fails for a value out of range.
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

// quantile returns the quantile for percent, 0 to 100, from the previous
// generation while the current one has less than half of its samples. The
// histogram rounds up, so the result is limited to the exact maximum.
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
