package dotterinterference

import "math"

// Estimate is a predicted effect: the slowdown that one co-runner adds.
type Estimate struct {
	Mean      float64 // at least 0
	Deviation float64 // standard deviation of Mean
}

// UpperBound returns the mean raised by factor standard deviations.
func (e Estimate) UpperBound(factor float64) float64 {
	return e.Mean + factor*e.Deviation
}

func newEstimate(mean, variance float64) Estimate {
	return Estimate{Mean: max(0, mean), Deviation: math.Sqrt(variance)}
}
