package dotterinterference

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Prior is what a Model assumes of effects that it has not learned.
type Prior struct {
	PerShare         float64            // effect of a co-runner that holds a whole host
	GeneralVariance  float64            // of the part of an effect that all victims share
	SpecificVariance float64            // of the part of one victim and one aggressor
	NoiseVariance    float64            // of one report of a settled worker
	ExcessNoise      float64            // by how much the variance of a report grows with the square of its excess
	UnsettledNoise   float64            // multiplies the variance for a worker that was changing
	DecayTime       dotterclock.Millis // after which a term without reports is as uncertain as at first
}

// DefaultPrior suits aggressors that disturb most victims by a like amount.
func DefaultPrior() Prior {
	return Prior{
		PerShare: 0.5, GeneralVariance: 0.04, SpecificVariance: 0.04,
		NoiseVariance: 0.04, ExcessNoise: 1, UnsettledNoise: 8, DecayTime: 30 * 60 * dotterclock.Second,
	}
}

// variance returns the variance of a term on which nothing is known.
func (p Prior) variance(k key) float64 {
	if k.victim == "" {
		return p.GeneralVariance
	}
	return p.SpecificVariance
}
