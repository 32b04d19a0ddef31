package dotterinterference

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// term is one learned component of an effect: general or specific.
type term struct {
	key        key
	mean       float64 // relative to the prior's mean
	variance   float64
	updatedAt  dotterclock.Millis // time of the last update
	referenced bool               // since the clock hand last passed
	own        information        // from the reports that this Model observed
}

// information is what reports tell about a term, apart from what was known before. The
// information of independent reports adds up.
type information struct {
	precision float64 // inverse of the variance
	weighted  float64 // mean times precision
}

func (i information) sub(o information) information {
	return information{i.precision - o.precision, i.weighted - o.weighted}
}

// informationOf returns the information of an estimate.
func informationOf(mean, variance float64) information {
	return information{1 / variance, mean / variance}
}

// add updates the term's estimate at now with information from elsewhere.
func (t *term) add(now dotterclock.Millis, prior Prior, i information) {
	known := informationOf(t.mean, t.varianceAt(now, prior))
	precision := known.precision + i.precision
	t.mean, t.variance, t.updatedAt = (known.weighted+i.weighted)/precision, 1/precision, max(t.updatedAt, now)
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
