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
	largest          int64
	current, earlier *hdrhistogram.Histogram
	peak             int64 // exact largest value of current
	earlierPeak      int64 // the same of earlier
}

func newGenerations(largest int64) *generations {
	return &generations{largest: largest, current: hdrhistogram.New(1, largest, significantFigures)}
}

// add records value, cut to the range that is kept.
func (g *generations) add(value int64) {
	if g.current.TotalCount() >= generationSamples {
		g.rotate()
	}
	value = min(max(value, 0), g.largest)
	g.peak = max(g.peak, value)
	// The value is in range, the only thing that RecordValue checks.
	_ = g.current.RecordValue(value)
}

func (g *generations) rotate() {
	fresh := g.earlier
	if fresh == nil {
		fresh = hdrhistogram.New(1, g.largest, significantFigures)
	}
	fresh.Reset()
	g.earlier, g.earlierPeak = g.current, g.peak
	g.current, g.peak = fresh, 0
}

// quantile returns the value at percent, 0 to 100, of the fuller generation.
// The histogram rounds up; the exact peak keeps that from exceeding every value.
func (g *generations) quantile(percent float64) int64 {
	if g.earlier != nil && g.current.TotalCount() < generationSamples/2 {
		return min(g.earlier.ValueAtQuantile(percent), g.earlierPeak)
	}
	return min(g.current.ValueAtQuantile(percent), g.peak)
}

func (g *generations) count() int64 {
	if g.earlier != nil {
		return g.earlier.TotalCount() + g.current.TotalCount()
	}
	return g.current.TotalCount()
}
