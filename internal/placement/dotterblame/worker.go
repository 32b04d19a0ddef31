package dotterblame

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// worker is the history of one worker.
type worker struct {
	failures []failure // since it last did well, oldest first
	until    dotterclock.Millis
	span     dotterclock.Millis // of the newest quarantine; 0: not quarantined
	seen     dotterclock.Millis
}

type failure struct {
	at       dotterclock.Millis
	template string
}

func (w *worker) quarantined() bool {
	return w.span > 0
}

// fail adds a failure, keeping the newest ones.
func (w *worker) fail(f failure) {
	w.failures = append(w.failures, f)
	if len(w.failures) > failuresKept {
		w.failures = w.failures[1:]
	}
}

// succeed forgets the older half of the failures.
func (w *worker) succeed() {
	w.failures = w.failures[(len(w.failures)+1)/2:]
}

// forget drops failures from before at.
func (w *worker) forget(at dotterclock.Millis) {
	for len(w.failures) > 0 && w.failures[0].at < at {
		w.failures = w.failures[1:]
	}
}

// quarantine begins or extends a quarantine at now.
func (w *worker) quarantine(now dotterclock.Millis) {
	w.span = min(max(FirstQuarantine, 2*w.span), LongestQuarantine)
	w.until = now + w.span
}

// clear ends a quarantine.
func (w *worker) clear() {
	w.span = 0
	w.until = 0
	w.failures = nil
}
