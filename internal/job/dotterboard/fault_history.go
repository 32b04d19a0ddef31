package dotterboard

import (
	"math"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// faultHalfLife is the half-life of a worker's faults. If it were shorter than the
	// shortest disturbance observed, a bad worker would get tasks again during it.
	faultHalfLife = 3 * dotterclock.Second
	// quarantineWeight is the weight of faults from which a worker is in quarantine and
	// gets only probe tasks: two failures in a row of tasks that do not fail elsewhere.
	quarantineWeight = 1.6
	// probeInterval is the interval between probe tasks for a worker in quarantine.
	probeInterval = 1500 * dotterclock.Millisecond
)

// faultHistory is a decaying record of the failures attributed to a worker.
type faultHistory struct {
	weight    float64 // number of failures attributed to the worker, decayed until updatedAt
	updatedAt dotterclock.Millis
	probedAt  dotterclock.Millis // when it last got a task in quarantine
}

// addFault records a failure with the given weight.
func (h *faultHistory) addFault(now dotterclock.Millis, weight float64) {
	h.weight = h.decayedWeight(now) + weight
	h.updatedAt = now
}

// recordSuccess halves the weight after a task has completed on the worker.
func (h *faultHistory) recordSuccess(now dotterclock.Millis) {
	h.weight = h.decayedWeight(now) / 2
	h.updatedAt = now
}

// decayedWeight returns the weight at the instant now.
func (h *faultHistory) decayedWeight(now dotterclock.Millis) float64 {
	if h.weight == 0 {
		return 0
	}
	return h.weight * math.Exp2(-float64(now-h.updatedAt)/float64(faultHalfLife))
}

// allowsTask reports whether the worker may get a task, if only as a probe.
func (h *faultHistory) allowsTask(now dotterclock.Millis) bool {
	return h.decayedWeight(now) < quarantineWeight || now-h.probedAt >= probeInterval
}

// recordPlacement records that a task was bound to the worker. In quarantine, that
// task is the probe.
func (h *faultHistory) recordPlacement(now dotterclock.Millis) {
	if h.decayedWeight(now) >= quarantineWeight {
		h.probedAt = now
	}
}
