package dotterrouter

import (
	"math"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	latencyWeight      = 0.2 // weight of a new sample in the moving average of the latency
	failuresToEject    = 3   // consecutive failed responses that eject a server
	minSamplesForSlow  = 5   // latency samples required before a server can be ejected as slow
	slowFactor         = 2.5 // a slow server exceeds this multiple of the median latency ...
	slowMarginMillis   = 3.0 // ... and the median latency by this margin
	minEjection        = 1 * dotterclock.Second
	maxEjection        = 5 * dotterclock.Second
	successesToRecover = 2                       // consecutive successful probes that end the probation
	ejectionResetDelay = 10 * dotterclock.Second // time without an ejection after which the backoff starts over
)

// health is the router's record of one server.
type health struct {
	latency      float64 // exponentially weighted moving average, milliseconds
	samples      int     // latency samples in the average
	failures     int     // consecutive failures
	successes    int     // consecutive successes since the last ejection
	ejected      bool
	failing      bool               // ejected for failures, not for slowness
	ejectedUntil dotterclock.Millis // end of the ejection period and start of the probation
	ejection     dotterclock.Millis // length of the latest ejection period
	updatedAt    dotterclock.Millis // when the latest result came in
}

// onProbation reports whether the server is ejected but may receive single probe
// requests.
func (h *health) onProbation(now dotterclock.Millis) bool {
	return h.ejected && now >= h.ejectedUntil
}

// record updates the health with a result. The median latency of the other
// servers is the reference for slowness.
func (h *health) record(result dotterelusher.RouteResult, median float64) {
	h.updatedAt = result.At
	if result.Failed || result.Unreachable {
		h.recordFailure(result)
		return
	}
	h.failures = 0
	h.recordLatency(float64(result.Latency))
	slow := h.samples >= minSamplesForSlow && h.slow(median)
	if h.ejected {
		slow = isSlow(float64(result.Latency), median)
	}
	if slow {
		h.eject(result.At, false)
		return
	}
	h.successes++
	if !h.ejected {
		return
	}
	if h.successes >= successesToRecover {
		h.recover(float64(result.Latency))
		return
	}
	// After a successful probe the next one may follow at once.
	h.ejectedUntil = min(h.ejectedUntil, result.At)
}

func (h *health) recordFailure(result dotterelusher.RouteResult) {
	h.failures++
	if result.Unreachable || h.ejected || h.failures >= failuresToEject {
		h.eject(result.At, true)
	}
}

func (h *health) recordLatency(latency float64) {
	h.samples++
	if h.samples == 1 {
		h.latency = latency
		return
	}
	h.latency += latencyWeight * (latency - h.latency)
}

func (h *health) slow(median float64) bool {
	return isSlow(h.latency, median)
}

func isSlow(latency, median float64) bool {
	return latency > slowFactor*median && latency > median+slowMarginMillis
}

// eject takes the server out of rotation for a period that doubles with each
// ejection, up to maxEjection. Results of requests that were in flight when the
// server was ejected don't extend the period.
func (h *health) eject(now dotterclock.Millis, failing bool) {
	h.successes = 0
	h.failing = failing
	if h.ejected && now < h.ejectedUntil {
		return
	}
	h.ejection = min(max(2*h.ejection, minEjection), maxEjection)
	h.ejected = true
	h.ejectedUntil = now + h.ejection
}

// recover ends the ejection. The length of the next one keeps doubling until
// resetBackoff resets it.
func (h *health) recover(latency float64) {
	h.ejected = false
	h.failing = false
	h.latency = latency
	h.samples = 1
}

// resetBackoff resets the ejection length of a server that has not been ejected
// for ejectionResetDelay.
func (h *health) resetBackoff(now dotterclock.Millis) {
	if !h.ejected && h.ejection > 0 && now-h.ejectedUntil > ejectionResetDelay {
		h.ejection = 0
	}
}

// cost estimates the latency of a further request, in milliseconds, when inFlight
// of the server's slots are in use.
func (h *health) cost(inFlight, slots int) float64 {
	load := float64(inFlight+1) / math.Max(1, float64(slots))
	return (h.latency + 1) * (1 + load)
}
