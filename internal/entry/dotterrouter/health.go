package dotterrouter

import (
	"math"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	latencyWeight     = 0.2 // of a new sample in the mean latency
	failuresToEject   = 3   // answers that fail in a row
	samplesToEject    = 5   // samples before a server can count as slow
	slowFactor        = 2.5 // times the median latency
	slowFloor         = 3.0 // milliseconds above the median latency
	firstEjection     = 1 * dotterclock.Second
	longestEjection   = 5 * dotterclock.Second
	samplesToRecover  = 2 // good answers in a row that end a probation
	forgetfulnessSpan = 10 * dotterclock.Second
)

// health is what is known about one server.
type health struct {
	latency   float64 // decayed mean, milliseconds
	samples   int
	failures  int // in a row
	good      int // in a row, since the last ejection
	ejected   bool
	failing   bool               // ejected for failures, not for slowness
	until     dotterclock.Millis // end of the ejection; after it comes probation
	ejection  dotterclock.Millis // length of the newest ejection
	updatedAt dotterclock.Millis
}

// onProbation reports whether single requests may go to an ejected server.
func (h *health) onProbation(now dotterclock.Millis) bool {
	return h.ejected && now >= h.until
}

// add takes in a result; median is the other servers' median latency.
func (h *health) add(result dotterelusher.RouteResult, median float64) {
	h.updatedAt = result.At
	if result.Failed || result.Unreachable {
		h.fail(result)
		return
	}
	h.failures = 0
	h.observe(float64(result.Latency))
	slow := h.samples >= samplesToEject && h.slow(median)
	if h.ejected {
		slow = isSlow(float64(result.Latency), median)
	}
	if slow {
		h.eject(result.At, false)
		return
	}
	h.good++
	if !h.ejected {
		return
	}
	if h.good >= samplesToRecover {
		h.recover(float64(result.Latency))
		return
	}
	// The next probe needs no further wait.
	h.until = min(h.until, result.At)
}

func (h *health) fail(result dotterelusher.RouteResult) {
	h.failures++
	if result.Unreachable || h.ejected || h.failures >= failuresToEject {
		h.eject(result.At, true)
	}
}

func (h *health) observe(latency float64) {
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
	return latency > slowFactor*median && latency > median+slowFloor
}

// eject leaves the server out for a span that doubles each time. Requests that
// were on the way when it was ejected don't lengthen the span.
func (h *health) eject(now dotterclock.Millis, failing bool) {
	h.good = 0
	h.failing = failing
	if h.ejected && now < h.until {
		return
	}
	h.ejection = min(max(2*h.ejection, firstEjection), longestEjection)
	h.ejected = true
	h.until = now + h.ejection
}

// recover ends an ejection; the next one starts shorter only after a quiet time.
func (h *health) recover(latency float64) {
	h.ejected = false
	h.failing = false
	h.latency = latency
	h.samples = 1
}

// settle shortens the next ejection of a server that has been in order for a while.
func (h *health) settle(now dotterclock.Millis) {
	if !h.ejected && h.ejection > 0 && now-h.until > forgetfulnessSpan {
		h.ejection = 0
	}
}

// cost is the latency to expect, in milliseconds, with inFlight of slots in use.
func (h *health) cost(inFlight, slots int) float64 {
	load := float64(inFlight+1) / math.Max(1, float64(slots))
	return (h.latency + 1) * (1 + load)
}
