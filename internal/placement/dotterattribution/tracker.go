package dotterattribution

import (
	"math"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

const (
	// MaxUnconfirmed limits the concurrent unconfirmed starts on a worker
	// without recent failures.
	MaxUnconfirmed = 4

	// DefaultMaxAttempts is the failure limit of a task whose template sets none.
	DefaultMaxAttempts = 3

	// FirstQuarantine is the duration of a worker's first quarantine.
	FirstQuarantine = 30 * dotterclock.Second

	// LongestQuarantine caps the duration of a quarantine, which doubles with
	// each failed probe.
	LongestQuarantine = 10 * 60 * dotterclock.Second

	// quarantineLogOdds is the natural logarithm of the odds of being faulty at
	// which a worker is quarantined.
	quarantineLogOdds = 4

	// faultyWorkerFailureRate is the probability that a task fails on a faulty worker.
	faultyWorkerFailureRate = 0.95

	// priorFailures and priorAttempts are the pseudo-counts from which the
	// failure rate of a new template is estimated.
	priorFailures = 0.2
	priorAttempts = 2.0

	// minFailureRate is a lower bound on the estimated failure rate of a template,
	// so that a single failure never suffices for a quarantine.
	minFailureRate = 0.03

	maxSuccesses     = 40 // counted per template
	maxFailedWorkers = 12 // kept per template
	maxFailures      = 8  // kept per worker

	// failureWindow is how long a failure counts against a worker that is not
	// quarantined.
	failureWindow = 10 * 60 * dotterclock.Second

	// retention is how long a task or worker is kept after its last event.
	retention = 60 * 60 * dotterclock.Second

	// maxTasks limits the number of failed tasks that are tracked.
	maxTasks = 20_000

	// brokenThreshold is the number of workers on which a template must have
	// failed, without any success, before its tasks get only one attempt each.
	brokenThreshold = 5
)

// Tracker records the failures of one shard. It is not safe for concurrent use.
type Tracker struct {
	workers   map[string]*worker
	templates map[string]*template
	tasks     map[dottertask.ID]*task
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{
		workers:   make(map[string]*worker),
		templates: make(map[string]*template),
		tasks:     make(map[dottertask.ID]*task),
	}
}

// RecordFailure records that an attempt of t failed on the named worker.
func (b *Tracker) RecordFailure(now dotterclock.Millis, name string, t dottertask.Task) {
	w := b.worker(now, name)
	w.recordFailure(failure{at: now, template: t.Template})
	b.template(t.Template).recordFailure(name)
	b.recordTaskFailure(now, t.ID, name)
	if b.quarantineDue(now, w, name) {
		w.extendQuarantine(now)
	}
}

// quarantineDue reports whether the failure just recorded begins or extends a
// quarantine. Failures before the end of a quarantine don't extend it: those
// attempts were started before it began.
func (b *Tracker) quarantineDue(now dotterclock.Millis, w *worker, name string) bool {
	if w.quarantined() {
		return now >= w.quarantinedUntil
	}
	return b.logOdds(now, w, name) >= quarantineLogOdds
}

// RecordSuccess records that an attempt of t succeeded on the named worker.
func (b *Tracker) RecordSuccess(now dotterclock.Millis, name string, t dottertask.Task) {
	w := b.worker(now, name)
	w.recordSuccess()
	if w.quarantined() && now >= w.quarantinedUntil {
		w.clear()
	}
	b.template(t.Template).recordSuccess(name)
}

// ForgetTask discards the failures recorded for the task id.
func (b *Tracker) ForgetTask(id dottertask.ID) {
	delete(b.tasks, id)
}

// WorkerLimits returns the limits on new starts on the named worker, and
// ends its quarantine if its log odds have dropped below the threshold.
func (b *Tracker) WorkerLimits(now dotterclock.Millis, name string) WorkerLimits {
	w, ok := b.workers[name]
	if !ok {
		return WorkerLimits{MaxUnconfirmed: MaxUnconfirmed}
	}
	if w.quarantined() && b.logOdds(now, w, name) < quarantineLogOdds {
		w.clear()
	}
	if w.quarantined() {
		return WorkerLimits{Quarantined: true, Probe: now >= w.quarantinedUntil, MaxUnconfirmed: 1}
	}
	return WorkerLimits{MaxUnconfirmed: max(1, MaxUnconfirmed-len(w.failures))}
}

// FailedWorkers returns the workers on which the task id has failed, one entry
// for each failed attempt.
func (b *Tracker) FailedWorkers(id dottertask.ID) []string {
	t, ok := b.tasks[id]
	if !ok {
		return nil
	}
	return t.failedOn
}

// Exhausted reports whether t must not be retried. That is the case after
// maxAttempts failures on workers that are not quarantined, after one such
// failure if its template is broken, or after twice maxAttempts failures on
// any workers. A maxAttempts of 0 means DefaultMaxAttempts.
func (b *Tracker) Exhausted(t dottertask.Task, maxAttempts int) bool {
	history, ok := b.tasks[t.ID]
	if !ok {
		return false
	}
	if maxAttempts == 0 {
		maxAttempts = DefaultMaxAttempts
	}
	counted := 0
	for _, name := range history.failedOn {
		if !b.isQuarantined(name) {
			counted++
		}
	}
	if counted > 0 && b.Broken(t.Template) {
		return true
	}
	return counted >= maxAttempts || len(history.failedOn) >= 2*maxAttempts
}

// Broken reports whether the named template has never succeeded and has failed
// on at least brokenThreshold workers that are not quarantined.
func (b *Tracker) Broken(name string) bool {
	t, ok := b.templates[name]
	if !ok || t.successes > 0 {
		return false
	}
	failed := 0
	for _, w := range t.failedWorkers {
		if !b.isQuarantined(w) {
			failed++
		}
	}
	return failed >= brokenThreshold
}

// Expire drops tasks and workers without recent events. The caller must invoke
// it periodically.
func (b *Tracker) Expire(now dotterclock.Millis) {
	for id, t := range b.tasks {
		if t.lastFailure < now-retention {
			delete(b.tasks, id)
		}
	}
	for name, w := range b.workers {
		if w.lastSeen < now-retention {
			delete(b.workers, name)
		}
	}
}

// logOdds returns the log odds that w, the worker called name, is faulty,
// given its recent failures.
func (b *Tracker) logOdds(now dotterclock.Millis, w *worker, name string) float64 {
	if !w.quarantined() {
		w.expire(now - failureWindow)
	}
	logOdds := 0.0
	for _, f := range w.failures {
		expected := b.template(f.template).failureRateExcept(name)
		logOdds += max(0, math.Log(faultyWorkerFailureRate/expected))
	}
	return logOdds
}

// isQuarantined reports whether the named worker is quarantined. Failures on
// a quarantined worker are not evidence against a template.
func (b *Tracker) isQuarantined(name string) bool {
	w, ok := b.workers[name]
	return ok && w.quarantined()
}

func (b *Tracker) recordTaskFailure(now dotterclock.Millis, id dottertask.ID, name string) {
	t, ok := b.tasks[id]
	if !ok {
		if len(b.tasks) >= maxTasks {
			return
		}
		t = &task{}
		b.tasks[id] = t
	}
	t.lastFailure = now
	t.failedOn = append(t.failedOn, name)
	if len(t.failedOn) > maxFailures*maxFailedWorkers {
		t.failedOn = slices.Delete(t.failedOn, 0, 1)
	}
}

func (b *Tracker) worker(now dotterclock.Millis, name string) *worker {
	w, ok := b.workers[name]
	if !ok {
		w = &worker{}
		b.workers[name] = w
	}
	w.lastSeen = now
	return w
}

func (b *Tracker) template(name string) *template {
	t, ok := b.templates[name]
	if !ok {
		t = &template{}
		b.templates[name] = t
	}
	return t
}
