package dotterblame

import "slices"

// template is how tasks of one template fared lately.
type template struct {
	good   float64  // attempts that did well, up to goodKept
	failed []string // distinct workers on which one failed since, newest last
}

func (t *template) fail(worker string) {
	if slices.Contains(t.failed, worker) {
		return
	}
	t.failed = append(t.failed, worker)
	if len(t.failed) > workersKept {
		t.failed = t.failed[1:]
	}
}

// succeed counts an attempt that did well and forgets the failures that worker had.
func (t *template) succeed(worker string) {
	t.good = min(t.good+1, goodKept)
	if at := slices.Index(t.failed, worker); at >= 0 {
		t.failed = slices.Delete(t.failed, at, at+1)
	}
}

// failsElsewhere returns how probable it is that an attempt fails on a good
// worker, judged from the workers other than except.
func (t *template) failsElsewhere(except string) float64 {
	failed := float64(len(t.failed))
	if slices.Contains(t.failed, except) {
		failed--
	}
	rate := (failed + priorFailed) / (failed + t.good + priorTried)
	return max(rate, lowestFailureRate)
}
