package dotterplacer

import (
	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterattribution"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterlookahead"
)

const (
	// sweepInterval is the number of plans between two sweeps, and the number
	// of plans after which attempts and workers that are no longer seen are
	// dropped.
	sweepInterval = 64

	// typicalReportLag and maxReportLag are the typical and the largest
	// plausible age of a report on arrival.
	typicalReportLag = 2 * dotterclock.Second
	maxReportLag     = 60 * dotterclock.Second

	// evictionRetention is how long the time of an eviction is kept.
	evictionRetention = 120 * dotterclock.Second
)

var _ dotterelusher.Placer = (*Placer)(nil)

// Placer is the placement policy of one shard. It is not safe for concurrent
// use.
type Placer struct {
	options           Options
	failures          *dotterattribution.Tracker
	effects           *effects
	attempts          map[dottertask.ID]*attempt
	histories         map[string]*history
	book              *dotterlookahead.Book // claims of urgent tasks, and reservations
	evictedAt         map[dottertask.ID]dotterclock.Millis
	interferingShapes map[shape]bool // would interfere on every worker with room, by the cached predictions
	evictions         *budget
	urgentEvictions   *budget
	targets           map[string]float64 // target slowdown by template, learned from reported latencies
	placedSubmitTime  float64            // moving average of the submission times of placed tasks
	planCount         int
	corunners         []dotterinterference.Corunner // buffer reused between calls
}

// New returns a Placer that starts with the observations in options.Models.
func New(options Options) *Placer {
	options = options.withDefaults()
	return &Placer{
		options:           options,
		failures:          dotterattribution.New(),
		effects:           newEffects(options.Models.Interference),
		attempts:          make(map[dottertask.ID]*attempt),
		histories:         make(map[string]*history),
		book:              dotterlookahead.NewBook(dotterlookahead.Limits{Earliest: true}),
		evictedAt:         make(map[dottertask.ID]dotterclock.Millis),
		interferingShapes: make(map[shape]bool),
		evictions:         newBudget(options.EvictionsPerMinute, options.EvictionBurst),
		urgentEvictions:   newBudget(options.UrgentEvictionsPerMinute, options.UrgentEvictionBurst),
		targets:           make(map[string]float64),
	}
}

// Plan makes the decisions of one round on a snapshot of the shard.
func (p *Placer) Plan(state dotterplan.State) dotterplan.Plan {
	p.planCount++
	if p.effects.refresh(state.Now) {
		clear(p.interferingShapes)
	}
	r := newRound(p, state)
	r.endExhausted()
	r.controlInterference()
	r.placeQueue()
	p.book.TakeEvents() // the plan's assignments tell what has become of reservations
	p.sweep(state.Now)
	return r.plan
}

// RecordUsage updates the policy with usage reports of attempts on worker. The
// caller must have converted the times in the reports to the clock that it
// passes to Plan.
func (p *Placer) RecordUsage(now dotterclock.Millis, worker string, usage []dotterattempt.Usage) {
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

// learnInterference updates the model with the slowdown reported for an attempt
// and the tasks that ran beside it at the time.
func (p *Placer) learnInterference(now dotterclock.Millis, worker string, a *attempt, u dotterattempt.Usage) {
	hist, ok := p.histories[worker]
	if !ok || u.Slowdown <= 0 || a.throttled > 0 {
		return
	}
	instant := measuredAt(now, u)
	running, unsettled, ok := hist.corunnersAt(instant)
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

// measuredAt returns the time of the measurement u. An implausible time, caused
// by a clock error of the worker, is replaced by an estimate.
func measuredAt(now dotterclock.Millis, u dotterattempt.Usage) dotterclock.Millis {
	if u.At > now || u.At < now-maxReportLag {
		return now - typicalReportLag
	}
	return u.At
}

// recordLongRun counts a confirmed attempt as a success once it has run for
// successAfter.
func (p *Placer) recordLongRun(now dotterclock.Millis, worker string, id dottertask.ID, a *attempt) {
	if a.successCounted || !a.confirmed || now-a.startedAt < successAfter {
		return
	}
	a.successCounted, a.countedPeak = true, a.peak
	p.failures.RecordSuccess(now, worker, dottertask.Task{ID: id, Template: a.template})
	p.options.Models.Sizes.AddPeak(a.template, a.peak)
}

// RecordEnd updates the policy with the outcome of an attempt of task on worker.
func (p *Placer) RecordEnd(now dotterclock.Millis, worker string, task dottertask.Task, status dotterattempt.Status) {
	a, known := p.attempts[task.ID]
	known = known && a.number == status.Attempt
	if known {
		delete(p.attempts, task.ID)
	}
	counted := known && a.successCounted
	switch status.Phase {
	case dotterattempt.PhaseFailed:
		p.failures.RecordFailure(now, worker, task)
		return
	case dotterattempt.PhaseDone:
		if !counted {
			p.failures.RecordSuccess(now, worker, task)
		}
		p.failures.ForgetTask(task.ID)
		p.learnRunTime(task, status)
	}
	if known && !a.peak.IsZero() && a.peak != a.countedPeak {
		p.options.Models.Sizes.AddPeak(task.Template, a.peak)
	}
}

// learnRunTime records the run time of an attempt that ran the whole task, not
// from a checkpoint.
func (p *Placer) learnRunTime(task dottertask.Task, status dotterattempt.Status) {
	if task.Checkpoint == "" && status.RanMillis > 0 {
		p.options.Models.Sizes.AddRunTime(task.Template, status.RanMillis)
	}
}

// Quarantined reports whether the named worker is quarantined and gets only
// probes.
func (p *Placer) Quarantined(now dotterclock.Millis, name string) bool {
	return p.failures.WorkerLimits(now, name).Quarantined
}

// sweep drops the state of tasks and workers that no longer exist.
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
