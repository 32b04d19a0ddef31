package dotterattribution

import "slices"

// template holds the recent outcomes of one template.
type template struct {
	successes     float64  // successful attempts, up to maxSuccesses
	failedWorkers []string // distinct workers with a failure and no success since, newest last
}

func (t *template) recordFailure(worker string) {
	if slices.Contains(t.failedWorkers, worker) {
		return
	}
	t.failedWorkers = append(t.failedWorkers, worker)
	if len(t.failedWorkers) > maxFailedWorkers {
		t.failedWorkers = t.failedWorkers[1:]
	}
}

// recordSuccess counts a successful attempt and drops worker from failedWorkers.
func (t *template) recordSuccess(worker string) {
	t.successes = min(t.successes+1, maxSuccesses)
	if at := slices.Index(t.failedWorkers, worker); at >= 0 {
		t.failedWorkers = slices.Delete(t.failedWorkers, at, at+1)
	}
}

// failureRateExcept returns the estimated probability that an attempt fails on
// a healthy worker, leaving out a failure on the given worker.
func (t *template) failureRateExcept(worker string) float64 {
	failed := float64(len(t.failedWorkers))
	if slices.Contains(t.failedWorkers, worker) {
		failed--
	}
	rate := (failed + priorFailures) / (failed + t.successes + priorAttempts)
	return max(rate, minFailureRate)
}
