package dotterinterference

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Prior holds the prior distribution of the effects and the noise of reports.
type Prior struct {
	PerShare         float64            // mean effect of a co-runner that holds a whole host
	GeneralVariance  float64            // of the term shared by all victims
	SpecificVariance float64            // of the term for one victim and one aggressor
	NoiseVariance    float64            // of one report from a worker in steady state
	ExcessNoise      float64            // relative growth of NoiseVariance with the square of the excess
	UnsettledNoise   float64            // factor on the noise variance if the co-runners were changing
	DecayTime        dotterclock.Millis // after which a term without reports has the prior's variance again
}

// DefaultPrior returns a prior for aggressors whose effect is similar on most
// victims: the general and the specific term have the same variance.
func DefaultPrior() Prior {
	return Prior{
		PerShare: 0.5, GeneralVariance: 0.04, SpecificVariance: 0.04,
		NoiseVariance: 0.04, ExcessNoise: 1, UnsettledNoise: 8, DecayTime: 30 * 60 * dotterclock.Second,
	}
}

// variance returns the variance of the term k before any report.
func (p Prior) variance(k key) float64 {
	if k.victim == "" {
		return p.GeneralVariance
	}
	return p.SpecificVariance
}
