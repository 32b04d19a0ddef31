package dotterboard

import (
	"math"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
)

const (
	// priorLoad and usualDeviation are what is assumed of a serving step's own load
	// before its tails tell.
	priorLoad          = 0.45
	priorLoadDeviation = 0.2
	// priorRateDeviation is the standard deviation of its rate, a second: loads swing by about
	// half within some seconds.
	priorRateDeviation = 0.1
	// rateNoise is the variance that the rate gains in a second.
	rateNoise = 0.003
	// minRangeSpan is how long a trend is watched before its extremes bound what it is
	// taken to reach: users' loads come and go in cycles of some seconds.
	minRangeSpan = 12 * dotterclock.Second
)

// trend is the load that the users of a serving step cause. All its tasks have it, as
// the users are spread over them. A Kalman filter follows its level and its rate.
type trend struct {
	at                                      dotterclock.Millis // 0: no reading yet
	since                                   dotterclock.Millis
	level, rate                             float64
	levelVariance, covariance, rateVariance float64
	lowest, highest                         float64
}

// advance moves the trend on to the instant.
func (r *trend) advance(now dotterclock.Millis) {
	if r.at == 0 {
		*r = trend{
			at: now, since: now, level: priorLoad, levelVariance: priorLoadDeviation * priorLoadDeviation, rateVariance: priorRateDeviation * priorRateDeviation,
			lowest: priorLoad, highest: priorLoad,
		}
		return
	}
	s := (now - r.at).Seconds()
	if s <= 0 {
		return
	}
	r.at = now
	r.level += r.rate * s
	r.levelVariance += 2*s*r.covariance + s*s*r.rateVariance + rateNoise*s*s*s/3
	r.covariance += s*r.rateVariance + rateNoise*s*s/2
	r.rateVariance += rateNoise * s
	r.clamp()
}

// clamp keeps the level within what loads can be, and the variance within what was
// assumed without readings.
func (r *trend) clamp() {
	if limit := priorLoadDeviation * priorLoadDeviation; r.levelVariance > limit {
		shrink := limit / r.levelVariance
		r.levelVariance, r.covariance = limit, r.covariance*math.Sqrt(shrink)
	}
	r.rateVariance = min(r.rateVariance, priorRateDeviation*priorRateDeviation)
	r.level = min(1, max(0, r.level))
}

// correct takes in a reading's correction of the level: the estimate after it, as the
// interference model has weighed it against the effects of other images.
func (r *trend) correct(after dotterinterference.Estimate) {
	if r.levelVariance <= 0 {
		return
	}
	gain := max(0, 1-after.Deviation*after.Deviation/r.levelVariance)
	r.rate += r.covariance / r.levelVariance * (after.Mean - r.level)
	r.rateVariance -= gain * r.covariance * r.covariance / r.levelVariance
	r.covariance *= 1 - gain
	r.level, r.levelVariance = after.Mean, after.Deviation*after.Deviation
	r.clamp()
	r.lowest, r.highest = min(r.lowest, r.level), max(r.highest, r.level)
}

// estimate returns the estimate of the level at the trend's instant.
func (r *trend) estimate() dotterinterference.Estimate {
	return dotterinterference.Estimate{Mean: r.level, Deviation: math.Sqrt(max(0, r.levelVariance))}
}

// predict returns the expected level at an instant. Readings tell of the time some
// moments before them.
func (r *trend) predict(at dotterclock.Millis) float64 {
	if r.at == 0 {
		return priorLoad
	}
	level := r.level + r.rate*(at+readingLag-r.at).Seconds()
	if r.at-r.since >= minRangeSpan {
		return min(r.highest, max(r.lowest, level))
	}
	return min(1, max(0, level))
}
