package dotterplacer

import (
	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterblame"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
)

const (
	// sweepPlans is the number of plans after which state of what is gone is dropped.
	sweepPlans = 64

	// usualLag and longestLag are the age of reports when they arrive.
	usualLag   = 2 * dotterclock.Second
	longestLag = 60 * dotterclock.Second

	// evictionMemory is how long an eviction of a task is remembered.
	evictionMemory = 120 * dotterclock.Second
)

var _ dotterelusher.Placer = (*Placer)(nil)

// Placer is the placement policy of one shard.
type Placer struct {
	options      Options
	blame        *dotterblame.Blame
	effects      *effects
	attempts     map[dottertask.ID]*attempt
	histories    map[string]*history
	claims       map[dottertask.ID]claim
	reservations map[dottertask.ID]string // worker held for a task that has waited long
	evictedAt    map[dottertask.ID]dotterclock.Millis
	refused      map[shape]bool // harmful wherever there is room, by the predictions in use
	evictions    *budget
	urgent       *budget
	targets      map[string]float64 // slowdown wanted of latency-critical templates, from latency reports
	front        float64            // instant, smoothed, at which the tasks placed lately were submitted
	plans        int
	groups       []dotterinterference.Corunner // reused between reports
}

// New returns a Placer that knows only what options.Knowledge has learned.
func New(options Options) *Placer {
	options = options.withDefaults()
	return &Placer{
		options:      options,
		blame:        dotterblame.New(),
		effects:      newEffects(options.Models.Interference),
		attempts:     make(map[dottertask.ID]*attempt),
		histories:    make(map[string]*history),
		claims:       make(map[dottertask.ID]claim),
		reservations: make(map[dottertask.ID]string),
		evictedAt:    make(map[dottertask.ID]dotterclock.Millis),
		refused:      make(map[shape]bool),
		evictions:    newBudget(options.EvictionsPerMinute, options.EvictionBurst),
		urgent:       newBudget(options.UrgentEvictionsPerMinute, options.UrgentEvictionBurst),
		targets:      make(map[string]float64),
	}
}

// Plan decides on the state.
func (p *Placer) Plan(state dotterplan.State) dotterplan.Plan {
	p.plans++
	if p.effects.refresh(state.Now) {
		clear(p.refused)
	}
	r := newRound(p, state)
	r.endExhausted()
	r.control()
	r.placeQueue()
	p.sweep(state.Now)
	return r.plan
}

// Observe takes in late usage reports of attempts that run on worker. The
// reports' instants must have been put on the clock that Plan is called with.
func (p *Placer) Observe(now dotterclock.Millis, worker string, usage []dotterattempt.Usage) {
	for _, u := range usage {
		a, ok := p.attempts[u.Task]
		if !ok || a.number != u.Attempt {
			continue
		}
		a.report(now, u)
		p.learn(now, worker, a, u)
		p.prove(now, worker, u.Task, a)
	}
}

// learn hands the report to the model with what ran beside the attempt.
func (p *Placer) learn(now dotterclock.Millis, worker string, a *attempt, u dotterattempt.Usage) {
	h, ok := p.histories[worker]
	if !ok || u.Slowdown <= 0 || a.throttled > 0 {
		return
	}
	instant := measuredAt(now, u)
	groups, unsettled, ok := h.at(instant)
	if !ok {
		return
	}
	p.groups = p.groups[:0]
	for _, g := range groups {
		if g.Template == a.template {
			g.Weight--
		}
		if g.Weight > 0 {
			p.groups = append(p.groups, g)
		}
	}
	p.options.Models.Interference.Observe(dotterinterference.Sample{
		At:        instant,
		Victim:    a.template,
		Slowdown:  u.Slowdown,
		Corunners: p.groups,
		Unsettled: unsettled || instant != u.At,
	})
}

// measuredAt returns when u was measured. An instant that can't be, because the
// worker's clock is far off, is replaced by one that is usual.
func measuredAt(now dotterclock.Millis, u dotterattempt.Usage) dotterclock.Millis {
	if u.At > now || u.At < now-longestLag {
		return now - usualLag
	}
	return u.At
}

// prove counts an attempt that has run well for long as a success, once.
func (p *Placer) prove(now dotterclock.Millis, worker string, id dottertask.ID, a *attempt) {
	if a.proven || !a.confirmed || now-a.startedAt < provenSpan {
		return
	}
	a.proven = true
	p.blame.Succeeded(now, worker, dottertask.Task{ID: id, Template: a.template})
	p.options.Models.Sizes.AddPeak(a.template, a.peak)
}

// Ended takes in how an attempt of task ended on worker.
func (p *Placer) Ended(now dotterclock.Millis, worker string, task dottertask.Task, status dotterattempt.Status) {
	a, known := p.attempts[task.ID]
	delete(p.attempts, task.ID)
	switch status.Phase {
	case dotterattempt.PhaseFailed:
		p.blame.Failed(now, worker, task)
		return
	case dotterattempt.PhaseDone:
		p.blame.Succeeded(now, worker, task)
		p.blame.Done(task.ID)
		p.learnRun(task, status)
	}
	if known && a.number == status.Attempt && !a.peak.IsZero() {
		p.options.Models.Sizes.AddPeak(task.Template, a.peak)
	}
}

// learnRun takes in the run time of a task that ran from its beginning to its end.
func (p *Placer) learnRun(task dottertask.Task, status dotterattempt.Status) {
	if task.Checkpoint == "" && status.RanMillis > 0 {
		p.options.Models.Sizes.AddRun(task.Template, status.RanMillis)
	}
}

// Quarantined reports whether the worker called name is given no work but probes.
func (p *Placer) Quarantined(now dotterclock.Millis, name string) bool {
	return p.blame.Worker(now, name).Quarantined
}

// sweep drops what belongs to tasks and workers that are gone.
func (p *Placer) sweep(now dotterclock.Millis) {
	if p.plans%sweepPlans != 0 {
		return
	}
	for id, a := range p.attempts {
		if a.seen < p.plans-sweepPlans {
			delete(p.attempts, id)
		}
	}
	for name, h := range p.histories {
		if h.seen < p.plans-sweepPlans {
			delete(p.histories, name)
		}
	}
	for id, at := range p.evictedAt {
		if at < now-evictionMemory {
			delete(p.evictedAt, id)
		}
	}
	p.blame.Forget(now)
}
