package dotterblame

import (
	"math"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

const (
	// MaxUnconfirmed is the number of starts without progress that a worker may have at a time.
	MaxUnconfirmed = 4

	// DefaultMaxAttempts is the number of failures that end a task whose template sets none.
	DefaultMaxAttempts = 3

	// FirstQuarantine is how long a worker is first left alone.
	FirstQuarantine = 30 * dotterclock.Second

	// LongestQuarantine bounds the time between two probes.
	LongestQuarantine = 10 * 60 * dotterclock.Second

	// suspicionBound is the natural logarithm of the odds at which a worker is quarantined.
	suspicionBound = 4

	// failsOnBad is the probability that a task fails on a worker that fails everything.
	failsOnBad = 0.95

	// priorFailed and priorTried stand for what is known of a new template.
	priorFailed = 0.2
	priorTried  = 2.0

	// lowestFailureRate keeps one failure from being enough for a quarantine.
	lowestFailureRate = 0.03

	goodKept     = 40
	workersKept  = 12
	failuresKept = 8

	// failureSpan is how long a failure counts against a worker.
	failureSpan = 10 * 60 * dotterclock.Second

	// keptSpan is how long a task or worker that nothing is heard of is kept.
	keptSpan = 60 * 60 * dotterclock.Second

	// tasksKept bounds the tasks with failures that are kept.
	tasksKept = 20_000

	// brokenWorkers is the number of workers on which a template must have
	// failed, without doing well anywhere, before its tasks get one attempt each.
	brokenWorkers = 5
)

// Blame is the record of failures of one shard; it isn't safe for concurrent use.
type Blame struct {
	workers   map[string]*worker
	templates map[string]*template
	tasks     map[dottertask.ID]*task
}

// New returns a Blame without any failures.
func New() *Blame {
	return &Blame{
		workers:   make(map[string]*worker),
		templates: make(map[string]*template),
		tasks:     make(map[dottertask.ID]*task),
	}
}

// Failed takes in that an attempt of t failed on the worker called name.
func (b *Blame) Failed(now dotterclock.Millis, name string, t dottertask.Task) {
	w := b.worker(now, name)
	w.fail(failure{at: now, template: t.Template})
	b.template(t.Template).fail(name)
	b.noteTask(now, t.ID, name)
	if b.quarantineDue(now, w, name) {
		w.quarantine(now)
	}
}

// quarantineDue reports whether a failure just noted begins or extends a
// quarantine; attempts that were started before it began extend nothing.
func (b *Blame) quarantineDue(now dotterclock.Millis, w *worker, name string) bool {
	if w.quarantined() {
		return now >= w.until
	}
	return b.suspicion(now, w, name) >= suspicionBound
}

// Succeeded takes in that an attempt of t did well on the worker called name.
func (b *Blame) Succeeded(now dotterclock.Millis, name string, t dottertask.Task) {
	w := b.worker(now, name)
	w.succeed()
	if w.quarantined() && now >= w.until {
		w.clear()
	}
	b.template(t.Template).succeed(name)
}

// Done forgets the task called id.
func (b *Blame) Done(id dottertask.ID) {
	delete(b.tasks, id)
}

// Worker returns what the worker called name may be given at now.
func (b *Blame) Worker(now dotterclock.Millis, name string) Verdict {
	w, ok := b.workers[name]
	if !ok {
		return Verdict{Unconfirmed: MaxUnconfirmed}
	}
	if w.quarantined() && b.suspicion(now, w, name) < suspicionBound {
		w.clear()
	}
	if w.quarantined() {
		return Verdict{Quarantined: true, Probe: now >= w.until, Unconfirmed: 1}
	}
	return Verdict{Unconfirmed: max(1, MaxUnconfirmed-len(w.failures))}
}

// Avoided returns the workers on which the task called id has failed.
func (b *Blame) Avoided(id dottertask.ID) []string {
	t, ok := b.tasks[id]
	if !ok {
		return nil
	}
	return t.workers
}

// Exhausted reports whether the task has failed so often, on workers that are
// not themselves to blame, that it must not be tried again; 0 means DefaultMaxAttempts.
func (b *Blame) Exhausted(t dottertask.Task, maxAttempts int) bool {
	history, ok := b.tasks[t.ID]
	if !ok {
		return false
	}
	if maxAttempts == 0 {
		maxAttempts = DefaultMaxAttempts
	}
	own := 0
	for _, name := range history.workers {
		if !b.aside(name) {
			own++
		}
	}
	if own > 0 && b.Broken(t.Template) {
		return true
	}
	return own >= maxAttempts || len(history.workers) >= 2*maxAttempts
}

// Broken reports whether the template called name fails wherever it is started.
func (b *Blame) Broken(name string) bool {
	t, ok := b.templates[name]
	if !ok || t.good > 0 {
		return false
	}
	failed := 0
	for _, w := range t.failed {
		if !b.aside(w) {
			failed++
		}
	}
	return failed >= brokenWorkers
}

// Forget drops what is too old to matter; it is to be called now and then.
func (b *Blame) Forget(now dotterclock.Millis) {
	for id, t := range b.tasks {
		if t.at < now-keptSpan {
			delete(b.tasks, id)
		}
	}
	for name, w := range b.workers {
		if w.seen < now-keptSpan {
			delete(b.workers, name)
		}
	}
}

// suspicion returns the logarithm of the odds, from its failures since it last
// did well, that w fails everything.
func (b *Blame) suspicion(now dotterclock.Millis, w *worker, name string) float64 {
	if !w.quarantined() {
		w.forget(now - failureSpan)
	}
	sum := 0.0
	for _, f := range w.failures {
		elsewhere := b.template(f.template).failsElsewhere(name)
		sum += max(0, math.Log(failsOnBad/elsewhere))
	}
	return sum
}

// aside reports whether the worker called name is quarantined, so that
// failures there say nothing about templates.
func (b *Blame) aside(name string) bool {
	w, ok := b.workers[name]
	return ok && w.quarantined()
}

func (b *Blame) noteTask(now dotterclock.Millis, id dottertask.ID, name string) {
	t, ok := b.tasks[id]
	if !ok {
		if len(b.tasks) >= tasksKept {
			return
		}
		t = &task{}
		b.tasks[id] = t
	}
	t.at = now
	t.workers = append(t.workers, name)
	if len(t.workers) > failuresKept*workersKept {
		t.workers = slices.Delete(t.workers, 0, 1)
	}
}

func (b *Blame) worker(now dotterclock.Millis, name string) *worker {
	w, ok := b.workers[name]
	if !ok {
		w = &worker{}
		b.workers[name] = w
	}
	w.seen = now
	return w
}

func (b *Blame) template(name string) *template {
	t, ok := b.templates[name]
	if !ok {
		t = &template{}
		b.templates[name] = t
	}
	return t
}
