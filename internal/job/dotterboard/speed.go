package dotterboard

import (
	"math"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// speedWeight is the weight of a new sample in the running mean of a worker.
	speedWeight = 0.3
	// poolWeight is the same for the pool, which has many more samples.
	poolWeight = 0.02
	// slowFactor is how much longer than the pool's a worker's tasks take, against what
	// they declare, before it counts as slow: declarations are off by half, which a
	// mean of some tasks evens out.
	slowFactor = 2.2
	// speedHalfLife is how fast a worker's slowness loses its weight without samples.
	speedHalfLife = 5 * dotterclock.Second
	// sampleSpan and sampleProgress say when a running task tells how fast it is.
	sampleSpan     = 600 * dotterclock.Millisecond
	sampleProgress = 5 // percent
)

// speed is how long tasks take against what they declare, as a mean of logarithms.
type speed struct {
	mean    float64
	samples int
	at      dotterclock.Millis
}

// add takes in a sample.
func (s *speed) add(now dotterclock.Millis, sample, weight float64) {
	s.samples++
	s.mean += max(weight, 1/float64(s.samples)) * (sample - s.mean)
	s.at = now
}

// observeSpeed takes in that a task took span for the given part of its work.
func (b *Board) observeSpeed(now dotterclock.Millis, w *worker, t *task, span dotterclock.Millis, part float64) {
	if t.step.LongRunning || t.step.Estimate <= 0 || span <= 0 || part <= 0 {
		return
	}
	sample := math.Log(float64(span) / part / float64(t.step.Estimate))
	b.pool.add(now, sample, poolWeight)
	w.speed.add(now, sample, speedWeight)
}

// slowness returns how much slower than the pool the worker is, as a logarithm.
func (b *Board) slowness(now dotterclock.Millis, w *worker) float64 {
	if w.speed.samples < 2 {
		return 0
	}
	faded := math.Exp2(-float64(now-w.speed.at) / float64(speedHalfLife))
	return (w.speed.mean - b.pool.mean) * faded
}

// isSlow reports whether tasks should go elsewhere if they can.
func (b *Board) isSlow(now dotterclock.Millis, w *worker) bool {
	return b.slowness(now, w) > math.Log(slowFactor)
}
