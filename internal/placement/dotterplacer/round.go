package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterfairshare"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterlookahead"
)

// round is the working state of one call of Plan.
type round struct {
	placer         *Placer
	state          dotterplan.State
	templates      map[string]dotterconfig.Template
	workers        []worker
	rackCounts     map[rackTemplate]int // number of latency-critical tasks by rack and template
	maxCapacity    dotterroom.Room      // largest capacity of any worker, by component
	shares         *dotterfairshare.Shares
	unplaceable    map[shape]bool // shapes for which no worker was found in this round
	ended          map[dottertask.ID]bool
	capacity       float64               // cores of all workers
	throttledCores float64               // cores withheld by throttles
	scoredPairs    int                   // pairs of task and worker that were scored
	roomShortage   bool                  // a task was not placed for lack of room
	ahead          *dotterlookahead.Plan // claimed and reserved room; its workers are those of the round
	plan           dotterplan.Plan
}

// shape is the key under which queued tasks are equivalent for placement.
type shape struct {
	template          string
	size              dotterroom.Room
	urgent            bool
	avoidInterference bool
}

// withoutSize returns s with a zero size.
func (s shape) withoutSize() shape {
	s.size = dotterroom.Room{}
	return s
}

// rackTemplate is the key for counting the tasks of a template in a rack.
type rackTemplate struct {
	rack     string
	template int
}

func newRound(p *Placer, state dotterplan.State) *round {
	r := &round{
		placer:      p,
		state:       state,
		templates:   make(map[string]dotterconfig.Template, len(state.Configuration.Templates)),
		workers:     make([]worker, 0, len(state.Workers)),
		rackCounts:  make(map[rackTemplate]int),
		unplaceable: make(map[shape]bool),
		ended:       make(map[dottertask.ID]bool),
	}
	for _, t := range state.Configuration.Templates {
		r.templates[t.Name] = t
	}
	r.shares = dotterfairshare.New(state.Configuration, teamUsage(state), state.Pool)
	for _, w := range state.Workers {
		r.addWorker(w)
	}
	r.relaxQuarantines()
	for i := range r.workers {
		r.predictSlowdowns(&r.workers[i])
	}
	return r
}

// relaxQuarantines lifts the quarantines, but for the limit of one unconfirmed
// start at a time, if more than half of the workers are quarantined. In that
// case the tasks are more likely at fault than the workers, and a shard that
// only probes would make no progress.
func (r *round) relaxQuarantines() {
	quarantined := 0
	for i := range r.workers {
		if r.workers[i].quarantined {
			quarantined++
		}
	}
	if 2*quarantined <= len(r.workers) {
		return
	}
	for i := range r.workers {
		w := &r.workers[i]
		w.usable = w.usable || w.quarantined
		w.probeOnly = false
	}
}

// teamUsage returns the room held by each team: the use reported for the whole
// pool, and at least the use in this shard.
func teamUsage(state dotterplan.State) map[string]dotterroom.Room {
	use := make(map[string]dotterroom.Room, len(state.TeamUse))
	for _, w := range state.Workers {
		for _, h := range w.Holders {
			use[h.Task.Team] = use[h.Task.Team].Add(h.Size)
		}
	}
	for name, room := range state.TeamUse {
		use[name] = use[name].Max(room)
	}
	return use
}

// addWorker adds a worker to the round and records what runs on it.
func (r *round) addWorker(snapshot dotterplan.Worker) {
	p := r.placer
	limits := p.failures.WorkerLimits(r.state.Now, snapshot.Host.Name)
	w := worker{
		host:        snapshot.Host,
		holders:     snapshot.Holders,
		usable:      snapshot.Usable && (!limits.Quarantined || limits.Probe),
		quarantined: snapshot.Usable && limits.Quarantined,
		probeOnly:   limits.Quarantined,
		startsLeft:  limits.MaxUnconfirmed,
		free:        snapshot.Host.Capacity,
		groups:      make([]group, 0, 24),
	}
	r.maxCapacity = r.maxCapacity.Max(snapshot.Host.Capacity)
	r.capacity += cores(snapshot.Host.Capacity)
	p.corunners = p.corunners[:0]
	for _, h := range snapshot.Holders {
		r.addHolder(&w, h)
	}
	r.workers = append(r.workers, w)
	hist, ok := p.histories[snapshot.Host.Name]
	if !ok {
		hist = &history{}
		p.histories[snapshot.Host.Name] = hist
	}
	hist.lastPlan = p.planCount
	hist.record(r.state.Now, p.corunners)
}

// addHolder adds a holder of room on w. If it names no task, only its size is
// known.
func (r *round) addHolder(w *worker, h dotterplan.Holder) {
	p := r.placer
	if h.Task.ID == "" {
		w.allocate(h.Size)
		return
	}
	a, ok := p.attempts[h.Task.ID]
	if !ok {
		a = &attempt{number: -1}
		p.attempts[h.Task.ID] = a
	}
	a.update(r.state.Now, h, p.planCount)
	if h.Task.Critical {
		r.learnTarget(r.templates[h.Task.Template], a)
		a.targetSlowdown = r.targetSlowdown(r.templates[h.Task.Template])
	}
	w.allocate(h.Size.Max(a.peak))
	if !a.confirmed {
		w.startsLeft--
	}
	share := h.Size.DominantShare(w.host.Capacity)
	id := p.effects.templateIndex(h.Task.Template, share)
	g := w.group(id)
	weight := throttleWeight(h)
	r.throttledCores += (1 - weight) * cores(h.Size)
	g.weight += weight
	if h.Task.Critical {
		g.critical++
		r.rackCounts[rackTemplate{w.host.Rack, id}]++
	} else {
		g.batch++
		g.cores += cores(h.Size)
	}
	if h.StartedAt > 0 {
		p.corunners = addCorunner(p.corunners, h.Task.Template, weight, share)
	}
}

// throttleWeight returns the fraction of its processor time that the throttle
// leaves to h.
func throttleWeight(h dotterplan.Holder) float64 {
	if h.ThrottlePercent <= 0 {
		return 1
	}
	return float64(h.ThrottlePercent) / 100
}

func addCorunner(corunners []dotterinterference.Corunner, template string, weight, share float64) []dotterinterference.Corunner {
	for i := range corunners {
		if corunners[i].Template == template {
			corunners[i].Weight += weight
			return corunners
		}
	}
	return append(corunners, dotterinterference.Corunner{Template: template, Weight: weight, Share: share})
}

// endExhausted ends queued tasks that must not be retried.
func (r *round) endExhausted() {
	failures := r.placer.failures
	for _, t := range r.state.Queue {
		if !failures.Exhausted(t, r.templates[t.Template].MaxAttempts) {
			continue
		}
		r.ended[t.ID] = true
		failures.ForgetTask(t.ID)
		r.plan.Failures = append(r.plan.Failures, dotterplan.Failure{Task: t.ID, Reason: "failed on as many workers as the template allows"})
	}
}

// roomFor returns the room to hold for t: the larger of its declared and its
// learned size. The learned size is capped to the largest worker.
func (r *round) roomFor(t dottertask.Task) dotterroom.Room {
	learned := r.placer.options.Models.Sizes.Room(t.Template, t.Size)
	return t.Size.Max(componentMin(learned, r.maxCapacity))
}

// expectedRunTime returns the expected run time of t.
func (r *round) expectedRunTime(t dottertask.Task) dotterclock.Millis {
	return r.placer.options.Models.Sizes.RunTime(t.Template, t.RunMillis)
}

func componentMin(a, b dotterroom.Room) dotterroom.Room {
	return dotterroom.Room{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
