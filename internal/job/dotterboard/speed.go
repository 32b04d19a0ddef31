package dotterboard

import (
	"math"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// taskVariance is the variance of the time that tasks of one step take, as a
	// logarithm: they differ by some ten percent.
	taskVariance = 0.05
	// mostWeight bounds the weight of former samples against a new one of weight 1.
	mostWeight = 2.5
	// priorWeight is the weight of the assumption that a worker is like the others.
	priorWeight = 0.5
	// leastWeight is the weight of samples from which a worker is judged at all.
	leastWeight = 1.2
	// poolWeight is the weight of a new sample in the mean of all steps.
	poolWeight = 0.02
	// largestDeviation bounds what one sample adds to the variance of declarations:
	// those of slow workers tell nothing of it.
	largestDeviation = 1.0
	// slowFactor is how much longer tasks take on a worker than is expected of them
	// before it counts as slow.
	slowFactor = 2.0
	// speedHalfLife is how fast a worker's slowness loses its weight without samples.
	speedHalfLife = 5 * dotterclock.Second
	// sampleSpan and sampleProgress say when a running task tells how fast it is.
	sampleSpan     = 600 * dotterclock.Millisecond
	sampleProgress = 5 // percent
)

// slowdown is how much longer tasks take than expected, as a weighted mean of logarithms.
type slowdown struct {
	mean   float64
	weight float64
	at     dotterclock.Millis
}

// add takes in a sample.
func (s *slowdown) add(now dotterclock.Millis, sample, weight float64) {
	s.weight = min(s.weight, mostWeight) + weight
	s.mean += weight / s.weight * (sample - s.mean)
	s.at = now
}

// estimateErrors is how far from the truth the declared times of steps are.
type estimateErrors struct {
	mean, variance float64 // of the logarithm of true over declared time
	samples        int
}

// add takes in a sample of a step.
func (d *estimateErrors) add(sample float64) {
	d.samples++
	weight := max(poolWeight, 1/float64(d.samples))
	deviation := sample - d.mean
	d.mean += weight * deviation
	d.variance += weight * (min(deviation*deviation, largestDeviation) - d.variance)
}

// observeSpeed takes in that a task took span for the given part of its work.
//
// What steps declare may be off by half and more, but it is off by the same factor for
// all tasks of a step. A sample is held against what the other tasks of its step took;
// without any, against what steps take in general, which weighs the less the more the
// declarations scatter.
func (b *Board) observeSpeed(now dotterclock.Millis, w *worker, t *task, span dotterclock.Millis, part float64) {
	if t.step.LongRunning || t.step.Estimate <= 0 || span <= 0 || part <= 0 {
		return
	}
	sample := math.Log(float64(span) / part / float64(t.step.Estimate))
	prior := taskVariance / max(b.declared.variance, taskVariance/mostWeight)
	expected, weight := prior*b.declared.mean, prior
	for _, o := range t.step.samples {
		if o.worker != w {
			expected, weight = expected+o.sample, weight+1
		}
	}
	expected /= weight
	b.declared.add(sample - b.slowness(now, w))
	w.speed.add(now, sample-expected, weight/(weight+1))
	t.step.samples = append(t.step.samples, slowdownSample{worker: w, sample: sample})
}

// slowdownSample is how much longer a task took on a worker than declared, as a logarithm.
type slowdownSample struct {
	worker *worker
	sample float64
}

// slowness returns how much slower than others the worker is, as a logarithm.
func (b *Board) slowness(now dotterclock.Millis, w *worker) float64 {
	s := &w.speed
	if s.weight < leastWeight {
		return 0
	}
	return s.mean * s.weight / (s.weight + priorWeight) * math.Exp2(-float64(now-s.at)/float64(speedHalfLife))
}

// isSlow reports whether tasks should go elsewhere if they can.
func (b *Board) isSlow(now dotterclock.Millis, w *worker) bool {
	return b.slowness(now, w) > math.Log(slowFactor)
}
