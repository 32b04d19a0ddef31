package dotterboard

import (
	"math"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// taskVariance is the variance of the logarithm of the run times of one step's tasks,
	// which differ by some ten percent.
	taskVariance = 0.05
	// maxPastWeight bounds the weight of earlier samples against a new one of weight 1.
	maxPastWeight = 2.5
	// priorWeight is the weight of the prior assumption that a worker is as fast as the
	// others.
	priorWeight = 0.5
	// minWeight is the weight of samples below which a worker's slowdown is taken to be 0.
	minWeight = 1.2
	// minEstimateWeight is the least weight of a new sample in estimateErrors.
	minEstimateWeight = 0.02
	// maxSquaredDeviation bounds what one sample adds to the variance of estimateErrors,
	// since samples of slow workers say nothing about the declarations.
	maxSquaredDeviation = 1.0
	// slowFactor is the ratio of actual to expected run times above which a worker is slow.
	slowFactor = 2.0
	// slowdownHalfLife is the half-life of a worker's slowdown while it gets no samples.
	slowdownHalfLife = 5 * dotterclock.Second
	// minSampleDuration and minSamplePercent are the run time and the progress from which a
	// running task gives a sample.
	minSampleDuration = 600 * dotterclock.Millisecond
	minSamplePercent  = 5
)

// slowdown is a weighted mean of the logarithm of actual over expected run times.
type slowdown struct {
	mean   float64
	weight float64
	at     dotterclock.Millis
}

// add updates the mean with a sample.
func (s *slowdown) add(now dotterclock.Millis, sample, weight float64) {
	s.weight = min(s.weight, maxPastWeight) + weight
	s.mean += weight / s.weight * (sample - s.mean)
	s.at = now
}

// estimateErrors is the distribution of the error of declared run times, over all steps.
type estimateErrors struct {
	mean, variance float64 // of the logarithm of actual over declared run time
	samples        int
}

// add updates the distribution with a sample.
func (e *estimateErrors) add(sample float64) {
	e.samples++
	weight := max(minEstimateWeight, 1/float64(e.samples))
	deviation := sample - e.mean
	e.mean += weight * deviation
	e.variance += weight * (min(deviation*deviation, maxSquaredDeviation) - e.variance)
}

// observeSpeed updates the worker's slowdown with the time that a task took for the
// given fraction of its work.
//
// Declared run times may be off by half and more, but by the same factor for all tasks
// of a step. So a sample is compared with those of the step's tasks on other workers,
// and with the mean error of all declarations, whose weight falls as their variance
// rises.
func (b *Board) observeSpeed(now dotterclock.Millis, w *worker, t *task, duration dotterclock.Millis, fraction float64) {
	if t.step.LongRunning || t.step.Estimate <= 0 || duration <= 0 || fraction <= 0 {
		return
	}
	sample := math.Log(float64(duration) / fraction / float64(t.step.Estimate))
	prior := taskVariance / max(b.declared.variance, taskVariance/maxPastWeight)
	expected, weight := prior*b.declared.mean, prior
	for _, o := range t.step.samples {
		if o.worker != w {
			expected, weight = expected+o.sample, weight+1
		}
	}
	expected /= weight
	b.declared.add(sample - b.logSlowdown(now, w))
	w.speed.add(now, sample-expected, weight/(weight+1))
	t.step.samples = append(t.step.samples, slowdownSample{worker: w, sample: sample})
}

// slowdownSample is the logarithm of actual over declared run time of a task on a
// worker.
type slowdownSample struct {
	worker *worker
	sample float64
}

// logSlowdown returns the logarithm of the worker's run times over those of other
// workers.
func (b *Board) logSlowdown(now dotterclock.Millis, w *worker) float64 {
	s := &w.speed
	if s.weight < minWeight {
		return 0
	}
	return s.mean * s.weight / (s.weight + priorWeight) * math.Exp2(-float64(now-s.at)/float64(slowdownHalfLife))
}

// isSlow reports whether the worker is so slow that tasks which can resume elsewhere
// leave it.
func (b *Board) isSlow(now dotterclock.Millis, w *worker) bool {
	return b.logSlowdown(now, w) > math.Log(slowFactor)
}
