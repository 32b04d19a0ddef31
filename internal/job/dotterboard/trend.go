package dotterboard

import (
	"math"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
)

const (
	// priorLoad and priorLoadDeviation are the mean and the standard deviation assumed of a
	// serving step's own load before there are readings.
	priorLoad          = 0.45
	priorLoadDeviation = 0.2
	// priorRateDeviation is the standard deviation assumed of the rate, per second: loads
	// change by about half within some seconds.
	priorRateDeviation = 0.1
	// rateNoise is the process noise of the rate: the variance that it gains per second.
	rateNoise = 0.003
	// minRangeDuration is how long a trend is observed before predictions are limited to the
	// range of levels seen. User loads follow cycles of some seconds.
	minRangeDuration = 12 * dotterclock.Second
)

// trend is the load that the users of a serving step cause, estimated by a Kalman filter
// over its level and rate. All tasks of the step share it, as the users are spread over
// them.
type trend struct {
	at                                      dotterclock.Millis // time of the estimate; 0: no reading yet
	since                                   dotterclock.Millis // time of the first reading
	level, rate                             float64
	levelVariance, covariance, rateVariance float64
	lowest, highest                         float64 // range of the levels seen
}

// advance moves the estimate forward to now: the prediction step of the filter. The
// first call sets the prior.
func (t *trend) advance(now dotterclock.Millis) {
	if t.at == 0 {
		*t = trend{
			at: now, since: now, level: priorLoad, levelVariance: priorLoadDeviation * priorLoadDeviation, rateVariance: priorRateDeviation * priorRateDeviation,
			lowest: priorLoad, highest: priorLoad,
		}
		return
	}
	s := (now - t.at).Seconds()
	if s <= 0 {
		return
	}
	t.at = now
	t.level += t.rate * s
	t.levelVariance += 2*s*t.covariance + s*s*t.rateVariance + rateNoise*s*s*s/3
	t.covariance += s*t.rateVariance + rateNoise*s*s/2
	t.rateVariance += rateNoise * s
	t.clamp()
}

// clamp limits the level to [0, 1] and the variances to those of the prior.
func (t *trend) clamp() {
	if limit := priorLoadDeviation * priorLoadDeviation; t.levelVariance > limit {
		shrink := limit / t.levelVariance
		t.levelVariance, t.covariance = limit, t.covariance*math.Sqrt(shrink)
	}
	t.rateVariance = min(t.rateVariance, priorRateDeviation*priorRateDeviation)
	t.level = min(1, max(0, t.level))
}

// correct is the update step of the filter. after is the corrected estimate of the
// level, from the interference model, which attributes a reading to the users and to the
// filling images.
func (t *trend) correct(after dotterinterference.Estimate) {
	if t.levelVariance <= 0 {
		return
	}
	gain := max(0, 1-after.Deviation*after.Deviation/t.levelVariance)
	t.rate += t.covariance / t.levelVariance * (after.Mean - t.level)
	t.rateVariance -= gain * t.covariance * t.covariance / t.levelVariance
	t.covariance *= 1 - gain
	t.level, t.levelVariance = after.Mean, after.Deviation*after.Deviation
	t.clamp()
	t.lowest, t.highest = min(t.lowest, t.level), max(t.highest, t.level)
}

// estimate returns the level at the time of the last advance.
func (t *trend) estimate() dotterinterference.Estimate {
	return dotterinterference.Estimate{Mean: t.level, Deviation: math.Sqrt(max(0, t.levelVariance))}
}

// predict returns the expected level at an instant. It adds readingLag, since a reading
// reflects the load some time before it.
func (t *trend) predict(at dotterclock.Millis) float64 {
	if t.at == 0 {
		return priorLoad
	}
	level := t.level + t.rate*(at+readingLag-t.at).Seconds()
	if t.at-t.since >= minRangeDuration {
		return min(t.highest, max(t.lowest, level))
	}
	return min(1, max(0, level))
}
