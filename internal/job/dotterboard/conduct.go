package dotterboard

import (
	"math"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// faultHalfLife is how fast old faults of a worker lose their weight; shorter
	// than the shortest disturbance seen would let a bad worker back in during it.
	faultHalfLife = 3 * dotterclock.Second
	// quarantineWeight is the weight of faults from which a worker gets no more than
	// a probe: two in a row of tasks that do not fail elsewhere.
	quarantineWeight = 1.6
	// probeInterval is how often a worker in quarantine gets one task.
	probeInterval = 1500 * dotterclock.Millisecond
)

// faultHistory is what is held against a worker.
type faultHistory struct {
	weight    float64 // decayed number of failures blamed on the worker
	updatedAt dotterclock.Millis
	probedAt  dotterclock.Millis
}

// addFault adds weight to the worker's faults.
func (c *faultHistory) addFault(now dotterclock.Millis, weight float64) {
	c.weight = c.decayedWeight(now) + weight
	c.updatedAt = now
}

// recordSuccess halves the worker's faults: a task came to its end there.
func (c *faultHistory) recordSuccess(now dotterclock.Millis) {
	c.weight = c.decayedWeight(now) / 2
	c.updatedAt = now
}

func (c *faultHistory) decayedWeight(now dotterclock.Millis) float64 {
	if c.weight == 0 {
		return 0
	}
	return c.weight * math.Exp2(-float64(now-c.updatedAt)/float64(faultHalfLife))
}

// allowsTask reports whether the worker may get tasks; a probe counts.
func (c *faultHistory) allowsTask(now dotterclock.Millis) bool {
	return c.decayedWeight(now) < quarantineWeight || now-c.probedAt >= probeInterval
}

// recordPlacement notes that a task goes to the worker.
func (c *faultHistory) recordPlacement(now dotterclock.Millis) {
	if c.decayedWeight(now) >= quarantineWeight {
		c.probedAt = now
	}
}
