package dotterinterference

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// term is one learned component of an effect: general or specific.
type term struct {
	key        key
	mean       float64 // relative to the prior's mean
	variance   float64
	updatedAt  dotterclock.Millis // time of the last update
	referenced bool               // since the clock hand last passed
}

// key identifies a term. An empty victim denotes the general term.
type key struct {
	victim, aggressor string
}

// varianceAt returns the variance of t at now, which grows linearly from the
// last update up to the prior's variance.
func (t *term) varianceAt(now dotterclock.Millis, prior Prior) float64 {
	priorVariance := prior.variance(t.key)
	elapsed := max(0, now-t.updatedAt)
	return min(priorVariance, t.variance+priorVariance*float64(elapsed)/float64(prior.DecayTime))
}
