package dotterplacer

import (
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterfairshare"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
)

// round is the working state of one Plan.
type round struct {
	placer    *Placer
	state     dotterplan.State
	templates map[string]dotterconfig.Template
	workers   []worker
	racks     map[rackTemplate]int // latency-critical tasks by rack and template
	largest   dotterroom.Room      // each component's largest capacity
	shares    *dotterfairshare.Shares
	blocked   map[shape]bool // shapes that found no worker in this round
	ended     map[dottertask.ID]bool
	capacity  float64 // cores of all workers
	withheld  float64 // cores that throttles withhold
	scored    int     // pairs of task and worker
	cramped   bool    // a task found no room
	plan      dotterplan.Plan
}

// shape is what makes two queued tasks alike for placement.
type shape struct {
	template string
	size     dotterroom.Room
	urgent   bool
	patient  bool
}

// sizeless returns s for any size.
func (s shape) sizeless() shape {
	s.size = dotterroom.Room{}
	return s
}

// rackTemplate is a key of the spread over racks.
type rackTemplate struct {
	rack     string
	template int
}

func newRound(p *Placer, state dotterplan.State) *round {
	r := &round{
		placer:    p,
		state:     state,
		templates: make(map[string]dotterconfig.Template, len(state.Configuration.Templates)),
		workers:   make([]worker, 0, len(state.Workers)),
		racks:     make(map[rackTemplate]int),
		blocked:   make(map[shape]bool),
		ended:     make(map[dottertask.ID]bool),
	}
	for _, t := range state.Configuration.Templates {
		r.templates[t.Name] = t
	}
	r.shares = dotterfairshare.New(state.Configuration, teamUse(state), state.Pool)
	for _, w := range state.Workers {
		r.addWorker(w)
	}
	r.boundQuarantines()
	for i := range r.workers {
		r.predict(&r.workers[i])
	}
	return r
}

// boundQuarantines lets suspects take one start at a time when they are more
// than half of the shard: then the fault is rather with the tasks, and a shard
// in which everything waits for probes would do nothing.
func (r *round) boundQuarantines() {
	suspects := 0
	for i := range r.workers {
		if r.workers[i].suspect {
			suspects++
		}
	}
	if 2*suspects <= len(r.workers) {
		return
	}
	for i := range r.workers {
		w := &r.workers[i]
		w.usable = w.usable || w.suspect
		w.probe = false
	}
}

// teamUse returns what each team holds: as reported for the pool, and at least
// what it holds in this shard.
func teamUse(state dotterplan.State) map[string]dotterroom.Room {
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

// addWorker takes in a worker and records what runs on it.
func (r *round) addWorker(from dotterplan.Worker) {
	p := r.placer
	verdict := p.blame.Worker(r.state.Now, from.Host.Name)
	w := worker{
		host:    from.Host,
		holders: from.Holders,
		usable:  from.Usable && (!verdict.Quarantined || verdict.Probe),
		suspect: from.Usable && verdict.Quarantined,
		probe:   verdict.Quarantined,
		starts:  verdict.Unconfirmed,
		free:    from.Host.Capacity,
		groups:  make([]group, 0, 24),
	}
	r.largest = r.largest.Max(from.Host.Capacity)
	r.capacity += cores(from.Host.Capacity)
	p.groups = p.groups[:0]
	for _, h := range from.Holders {
		r.addHolder(&w, h)
	}
	r.workers = append(r.workers, w)
	past, ok := p.histories[from.Host.Name]
	if !ok {
		past = &history{}
		p.histories[from.Host.Name] = past
	}
	past.seen = p.plans
	past.record(r.state.Now, p.groups)
}

// addHolder takes in what holds room on w; of a holder without a task nothing
// is known but its size.
func (r *round) addHolder(w *worker, h dotterplan.Holder) {
	p := r.placer
	if h.Task.ID == "" {
		w.hold(h.Size)
		return
	}
	a, ok := p.attempts[h.Task.ID]
	if !ok {
		a = &attempt{number: -1}
		p.attempts[h.Task.ID] = a
	}
	a.adopt(r.state.Now, h, p.plans)
	if h.Task.Critical {
		r.learnTarget(r.templates[h.Task.Template], a)
		a.target = r.target(r.templates[h.Task.Template])
	}
	w.hold(h.Size.Max(a.peak))
	if !a.confirmed {
		w.starts--
	}
	share := h.Size.DominantShare(w.host.Capacity)
	id := p.effects.id(h.Task.Template, share)
	g := w.group(id)
	weight := holderWeight(h)
	r.withheld += (1 - weight) * cores(h.Size)
	g.weight += weight
	if h.Task.Critical {
		g.critical++
		r.racks[rackTemplate{w.host.Rack, id}]++
	} else {
		g.batch++
		g.cores += cores(h.Size)
	}
	if h.StartedAt > 0 {
		p.groups = addCorunner(p.groups, h.Task.Template, weight, share)
	}
}

// holderWeight returns the part of its processor time that h is left.
func holderWeight(h dotterplan.Holder) float64 {
	if h.Throttled <= 0 {
		return 1
	}
	return float64(h.Throttled) / 100
}

func addCorunner(groups []dotterinterference.Corunner, template string, weight, share float64) []dotterinterference.Corunner {
	for i := range groups {
		if groups[i].Template == template {
			groups[i].Weight += weight
			return groups
		}
	}
	return append(groups, dotterinterference.Corunner{Template: template, Weight: weight, Share: share})
}

// endExhausted ends queued tasks that have failed too often.
func (r *round) endExhausted() {
	blame := r.placer.blame
	for _, t := range r.state.Queue {
		if !blame.Exhausted(t, r.templates[t.Template].MaxAttempts) {
			continue
		}
		r.ended[t.ID] = true
		blame.Done(t.ID)
		r.plan.Endings = append(r.plan.Endings, dotterplan.Ending{Task: t.ID, Reason: "failed on as many workers as the template allows"})
	}
}

// size returns the room to hold for t: the larger of declared and learned, of
// which the learned part never passes the largest worker.
func (r *round) size(t dottertask.Task) dotterroom.Room {
	learned := r.placer.options.Models.Sizes.Room(t.Template, t.Size)
	return t.Size.Max(least(learned, r.largest))
}

// run returns the run time to expect of t.
func (r *round) run(t dottertask.Task) dotterclock.Millis {
	return r.placer.options.Models.Sizes.Run(t.Template, t.RunMillis)
}

func least(a, b dotterroom.Room) dotterroom.Room {
	return dotterroom.Room{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// worker returns the worker called name, or nil.
func (r *round) worker(name string) *worker {
	at := slices.IndexFunc(r.workers, func(w worker) bool { return w.host.Name == name })
	if at < 0 {
		return nil
	}
	return &r.workers[at]
}
