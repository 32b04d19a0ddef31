package dotterinterference

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// term is one learned part of an effect.
type term struct {
	key      key
	mean     float64 // above the prior's mean
	variance float64
	at       dotterclock.Millis // last update
	touched  bool               // since the replacing hand passed last
}

// key names a term; an empty victim stands for all victims.
type key struct {
	victim, aggressor string
}

// aged returns the variance of t at now: it returns to the prior's with time.
func (t *term) aged(now dotterclock.Millis, assumed Prior) float64 {
	prior := assumed.variance(t.key)
	elapsed := max(0, now-t.at)
	return min(prior, t.variance+prior*float64(elapsed)/float64(assumed.DecayTime))
}
