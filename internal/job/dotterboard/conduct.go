package dotterboard

import (
	"math"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// faultHalfLife is how fast old faults of a worker lose their weight; shorter
	// than the shortest disturbance seen would let a bad worker back in during it.
	faultHalfLife = 3 * dotterclock.Second
	// quarantineFaults is the weight of faults from which a worker gets no more than
	// a probe: two in a row of tasks that do not fail elsewhere.
	quarantineFaults = 1.6
	// probeSpan is how often a worker in quarantine gets one task.
	probeSpan = 1500 * dotterclock.Millisecond
)

// conduct is what is held against a worker.
type conduct struct {
	faults   float64 // decayed number of failures blamed on the worker
	at       dotterclock.Millis
	probedAt dotterclock.Millis
}

// blame adds weight to the worker's faults.
func (c *conduct) blame(now dotterclock.Millis, weight float64) {
	c.faults = c.decayed(now) + weight
	c.at = now
}

// praise halves the worker's faults: a task came to its end there.
func (c *conduct) praise(now dotterclock.Millis) {
	c.faults = c.decayed(now) / 2
	c.at = now
}

func (c *conduct) decayed(now dotterclock.Millis) float64 {
	if c.faults == 0 {
		return 0
	}
	return c.faults * math.Exp2(-float64(now-c.at)/float64(faultHalfLife))
}

// trusted reports whether the worker may get tasks; a probe counts.
func (c *conduct) trusted(now dotterclock.Millis) bool {
	return c.decayed(now) < quarantineFaults || now-c.probedAt >= probeSpan
}

// recordPlacement notes that a task goes to the worker.
func (c *conduct) recordPlacement(now dotterclock.Millis) {
	if c.decayed(now) >= quarantineFaults {
		c.probedAt = now
	}
}
