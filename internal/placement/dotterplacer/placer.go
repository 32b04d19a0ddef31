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
	// sweepInterval is the number of plans after which state of what is gone is dropped.
	sweepInterval = 64

	// typicalReportLag and maxReportLag are the age of reports when they arrive.
	typicalReportLag = 2 * dotterclock.Second
	maxReportLag     = 60 * dotterclock.Second

	// evictionRetention is how long an eviction of a task is remembered.
	evictionRetention = 120 * dotterclock.Second
)

var _ dotterelusher.Placer = (*Placer)(nil)

// Placer is the placement policy of one shard.
type Placer struct {
	options          Options
	failures         *dotterblame.Tracker
	effects          *effects
	attempts         map[dottertask.ID]*attempt
	histories        map[string]*history
	claims           map[dottertask.ID]claim
	reservations     map[dottertask.ID]string // worker held for a task that has waited long
	evictedAt        map[dottertask.ID]dotterclock.Millis
	harmfulShapes    map[shape]bool // harmful wherever there is room, by the predictions in use
	evictions        *budget
	urgentEvictions  *budget
	targets          map[string]float64 // slowdown wanted of latency-critical templates, from latency reports
	placedSubmitTime float64            // instant, smoothed, at which the tasks placed lately were submitted
	planCount        int
	corunners        []dotterinterference.Corunner // reused between reports
}

// New returns a Placer that knows only what options.Knowledge has learned.
func New(options Options) *Placer {
	options = options.withDefaults()
	return &Placer{
		options:         options,
		failures:        dotterblame.New(),
		effects:         newEffects(options.Models.Interference),
		attempts:        make(map[dottertask.ID]*attempt),
		histories:       make(map[string]*history),
		claims:          make(map[dottertask.ID]claim),
		reservations:    make(map[dottertask.ID]string),
		evictedAt:       make(map[dottertask.ID]dotterclock.Millis),
		harmfulShapes:   make(map[shape]bool),
		evictions:       newBudget(options.EvictionsPerMinute, options.EvictionBurst),
		urgentEvictions: newBudget(options.UrgentEvictionsPerMinute, options.UrgentEvictionBurst),
		targets:         make(map[string]float64),
	}
}

// Plan decides on the state.
func (p *Placer) Plan(state dotterplan.State) dotterplan.Plan {
	p.planCount++
	if p.effects.refresh(state.Now) {
		clear(p.harmfulShapes)
	}
	r := newRound(p, state)
	r.endExhausted()
	r.controlInterference()
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
		a.addUsage(now, u)
		p.learnInterference(now, worker, a, u)
		p.recordLongRun(now, worker, u.Task, a)
	}
}

// learnInterference hands the report to the model with what ran beside the attempt.
func (p *Placer) learnInterference(now dotterclock.Millis, worker string, a *attempt, u dotterattempt.Usage) {
	past, ok := p.histories[worker]
	if !ok || u.Slowdown <= 0 || a.throttled > 0 {
		return
	}
	instant := measuredAt(now, u)
	running, unsettled, ok := past.corunnersAt(instant)
	if !ok {
		return
	}
	p.corunners = p.corunners[:0]
	for _, g := range running {
		if g.Template == a.template {
			g.Weight--
		}
		if g.Weight > 0 {
			p.corunners = append(p.corunners, g)
		}
	}
	p.options.Models.Interference.Observe(dotterinterference.Sample{
		At:        instant,
		Victim:    a.template,
		Slowdown:  u.Slowdown,
		Corunners: p.corunners,
		Unsettled: unsettled || instant != u.At,
	})
}

// measuredAt returns when u was measured. An instant that can't be, because the
// worker's clock is far off, is replaced by one that is usual.
func measuredAt(now dotterclock.Millis, u dotterattempt.Usage) dotterclock.Millis {
	if u.At > now || u.At < now-maxReportLag {
		return now - typicalReportLag
	}
	return u.At
}

// recordLongRun counts an attempt that has run well for long as a success, once.
func (p *Placer) recordLongRun(now dotterclock.Millis, worker string, id dottertask.ID, a *attempt) {
	if a.successCounted || !a.confirmed || now-a.startedAt < successAfter {
		return
	}
	a.successCounted = true
	p.failures.RecordSuccess(now, worker, dottertask.Task{ID: id, Template: a.template})
	p.options.Models.Sizes.AddPeak(a.template, a.peak)
}

// Ended takes in how an attempt of task ended on worker.
func (p *Placer) Ended(now dotterclock.Millis, worker string, task dottertask.Task, status dotterattempt.Status) {
	a, known := p.attempts[task.ID]
	delete(p.attempts, task.ID)
	switch status.Phase {
	case dotterattempt.PhaseFailed:
		p.failures.RecordFailure(now, worker, task)
		return
	case dotterattempt.PhaseDone:
		p.failures.RecordSuccess(now, worker, task)
		p.failures.ForgetTask(task.ID)
		p.learnRunTime(task, status)
	}
	if known && a.number == status.Attempt && !a.peak.IsZero() {
		p.options.Models.Sizes.AddPeak(task.Template, a.peak)
	}
}

// learnRunTime takes in the run time of a task that ran from its beginning to its end.
func (p *Placer) learnRunTime(task dottertask.Task, status dotterattempt.Status) {
	if task.Checkpoint == "" && status.RanMillis > 0 {
		p.options.Models.Sizes.AddRunTime(task.Template, status.RanMillis)
	}
}

// Quarantined reports whether the worker called name is given no work but probes.
func (p *Placer) Quarantined(now dotterclock.Millis, name string) bool {
	return p.failures.WorkerLimits(now, name).Quarantined
}

// sweep drops what belongs to tasks and workers that are gone.
func (p *Placer) sweep(now dotterclock.Millis) {
	if p.planCount%sweepInterval != 0 {
		return
	}
	for id, a := range p.attempts {
		if a.lastPlan < p.planCount-sweepInterval {
			delete(p.attempts, id)
		}
	}
	for name, h := range p.histories {
		if h.lastPlan < p.planCount-sweepInterval {
			delete(p.histories, name)
		}
	}
	for id, at := range p.evictedAt {
		if at < now-evictionRetention {
			delete(p.evictedAt, id)
		}
	}
	p.failures.Expire(now)
}
