package dotterinterference

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// term is one learned part of an effect.
type term struct {
	key        key
	mean       float64 // above the prior's mean
	variance   float64
	updatedAt  dotterclock.Millis // last update
	referenced bool               // since the replacing hand passed last
}

// key names a term; an empty victim stands for all victims.
type key struct {
	victim, aggressor string
}

// varianceAt returns the variance of t at now: it returns to the prior's with time.
func (t *term) varianceAt(now dotterclock.Millis, prior Prior) float64 {
	priorVariance := prior.variance(t.key)
	elapsed := max(0, now-t.updatedAt)
	return min(priorVariance, t.variance+priorVariance*float64(elapsed)/float64(prior.DecayTime))
}
