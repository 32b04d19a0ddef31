package dotterboard

import (
	"math"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterlookahead"
)

const (
	// minDeclaredSamples is the number of samples from which the distribution of errors of
	// declared run times is used.
	minDeclaredSamples = 20
	// maxRunSamples bounds the samples of a step that a prediction uses, the newest.
	maxRunSamples = 16
	// minRemainingFraction is the least remaining run time that is assumed of a run, as a
	// fraction of its predicted run time: it is reached by runs that outlast their prediction.
	minRemainingFraction = 0.25
	// stopDuration and maxStopDuration are how long the stop of a run takes, typically and at
	// most, on the platform's deployments.
	stopDuration    = 400 * dotterclock.Millisecond
	maxStopDuration = 900 * dotterclock.Millisecond
)

// unknownVariance is the variance of the logarithm of actual over declared run time before any
// was observed: the declarations are off by up to three times, taken as two standard deviations.
var unknownVariance = math.Pow(math.Log(3)/2, 2)

// runTime is a prediction of the run time of a task, with a log-normal error.
type runTime struct {
	median    dotterclock.Millis
	deviation float64 // standard deviation of its logarithm
}

// late returns the run time that is one standard deviation above the median.
func (r runTime) late() dotterclock.Millis {
	return dotterclock.Millis(float64(r.median) * math.Exp(r.deviation))
}

// predictRunTime predicts the run time of the step's tasks on a worker of usual speed. The error of
// the declaration is the same for all tasks of a step: its prior is the distribution over all steps,
// and each run of the step is a sample of it.
func (b *Board) predictRunTime(s *step) runTime {
	mean, variance := 0.0, unknownVariance
	if b.declared.samples >= minDeclaredSamples {
		mean, variance = b.declared.mean, max(b.declared.variance, taskVariance)
	}
	sum, precision := mean/variance, 1/variance
	for _, o := range s.samples[max(0, len(s.samples)-maxRunSamples):] {
		sum, precision = sum+o.sample/taskVariance, precision+1/taskVariance
	}
	return runTime{
		median:    dotterclock.Millis(float64(s.Estimate) * math.Exp(sum/precision)),
		deviation: math.Sqrt(taskVariance + 1/precision),
	}
}

// predictEnd predicts when the task's run ends, and the instant by which it will probably have ended.
// Both are dotterlookahead.Never for a run that is not expected to end.
func (b *Board) predictEnd(now dotterclock.Millis, t *task) (end, latest dotterclock.Millis) {
	switch {
	case t.stopping:
		return now + stopDuration, now + maxStopDuration
	case t.step.LongRunning || t.step.Estimate <= 0 || t.paceWanted == 0:
		return dotterlookahead.Never, dotterlookahead.Never
	}
	r := b.predictRunTime(t.step)
	r.median = dotterclock.Millis(float64(r.median) * math.Exp(b.logSlowdown(now, t.worker)))
	began := now
	if t.phase == running {
		began = t.startedAt
		switch {
		case t.fromScratch && t.progress >= minSamplePercent:
			r = runTime{median: (t.progressAt - t.startedAt) * 100 / dotterclock.Millis(t.progress), deviation: math.Sqrt(taskVariance)}
		case !t.fromScratch:
			began = t.progressAt - r.median*dotterclock.Millis(t.progress)/100
		}
	}
	end = max(began+r.median, now+dotterclock.Millis(minRemainingFraction*float64(r.median)))
	return end, end + r.late() - r.median
}
