package dotterattribution

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// worker holds the recent failures and the quarantine of one worker.
type worker struct {
	failures         []failure // oldest first; each success discards the older half
	quarantinedUntil dotterclock.Millis
	duration         dotterclock.Millis // of the current quarantine; 0 if not quarantined
	lastSeen         dotterclock.Millis
}

type failure struct {
	at       dotterclock.Millis
	template string
}

func (w *worker) quarantined() bool {
	return w.duration > 0
}

// recordFailure adds f and keeps the newest maxFailures failures.
func (w *worker) recordFailure(f failure) {
	w.failures = append(w.failures, f)
	if len(w.failures) > maxFailures {
		w.failures = w.failures[1:]
	}
}

// recordSuccess discards the older half of the failures.
func (w *worker) recordSuccess() {
	w.failures = w.failures[(len(w.failures)+1)/2:]
}

// expire drops the failures that occurred earlier than before.
func (w *worker) expire(before dotterclock.Millis) {
	for len(w.failures) > 0 && w.failures[0].at < before {
		w.failures = w.failures[1:]
	}
}

// extendQuarantine begins a quarantine at now, or doubles the current one.
func (w *worker) extendQuarantine(now dotterclock.Millis) {
	w.duration = min(max(FirstQuarantine, 2*w.duration), LongestQuarantine)
	w.quarantinedUntil = now + w.duration
}

// clear ends a quarantine and discards the failures that led to it.
func (w *worker) clear() {
	w.duration = 0
	w.quarantinedUntil = 0
	w.failures = nil
}
