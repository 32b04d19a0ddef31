package dotterboard

import (
	"cmp"
	"iter"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotteraccount"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotteradmission"
)

// plan is one pass that places the tasks of ready steps on workers.
type plan struct {
	board      *Board
	now        dotterclock.Millis
	wall       dotterclock.Millis          // time of day
	workers    map[string][]*worker        // by service
	unused     map[string]float64          // by service: see unusedFraction
	emptied    map[*worker]dotterroom.Room // see restartsHere
	all        []candidate
	seeksPeers bool // whether it may hand lost tasks over, for which it predicts the ends of all runs
	ahead      *lookAhead
	rack       string          // on which a rack-sensitive gang is being placed; empty: any
	left       int             // tasks of the step being placed that may still be bound
	held       map[string]bool // tenants of which a step is held by the cap
}

// candidate is a ready step with tasks to place.
type candidate struct {
	step       *step
	objective  dotterclock.Millis
	timeliness timeliness
	missed     bool // see plan.isMissed
}

const (
	// missedDelay is how long a long-running task that has run before may wait for room behind
	// quick tasks, which on a full service take each gap as it appears. Its users miss it some
	// seconds later.
	missedDelay = 2 * dotterclock.Second
	// lostMissedDelay is the same for a task whose run was lost with its worker: that is known only
	// seconds after the run.
	lostMissedDelay = 300 * dotterclock.Millisecond
)

// timeliness tells whether a step's job can still end in time. Among steps of one rank,
// those with the lower value are placed first.
type timeliness int

const (
	onTime  timeliness = iota // the job can end by its objective
	late                      // after its objective, but still of use
	expired                   // so late that its users no longer wait for it
)

// usefulFactor is how many times its objective a job may take and still be of use.
const usefulFactor = dotteradmission.UsefulFactor

// minEstimateFraction is the fraction of its declared run time that a job takes at least.
// Declared run times are off by about half, in either direction.
const minEstimateFraction = 0.6

// replanInterval is how often waiting steps are planned again although nothing has changed.
const replanInterval = 200 * dotterclock.Millisecond

// Plan binds tasks of ready steps to workers; wall is the time of day. It returns the
// time at which to plan again if nothing changes before.
func (b *Board) Plan(now, wall dotterclock.Millis) dotterclock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wallOffset = wall - now
	b.reap(now)
	defer func() { b.freed = nil }()
	b.observeKeptRoom(now)
	p := &plan{board: b, now: now, wall: wall, workers: map[string][]*worker{}, unused: map[string]float64{}, emptied: map[*worker]dotterroom.Room{}, held: map[string]bool{}}
	next := now + maxListingAge
	if after, ok := b.openDue(wall); ok {
		next = min(next, now+after)
	}
	candidates := p.candidates()
	p.all = candidates
	if len(candidates) == 0 {
		b.containShared("allotments", p.allot)
		return next
	}
	for _, w := range b.workersByID {
		if w.Service != "" && w.contacted {
			p.workers[w.Service] = append(p.workers[w.Service], w)
			b.loadOf(now, w).open = b.isOpen(now, w)
		}
	}
	b.backlog = p.backlog(candidates)
	p.unblock()
	b.containShared("look-ahead", func() { p.ahead = p.newLookAhead(candidates) })
	next = min(next, now+replanInterval)
	for _, c := range candidates {
		b.contain(c.step.occurrence.job.ID, func() { next = min(next, p.attempt(c.step)) })
	}
	b.containShared("allotments", p.allot)
	b.containShared("handover", func() { p.handOver(candidates) })
	b.containShared("lost tasks", func() { p.logLost(candidates) })
	return next
}

// attempt places the tasks of a step unless a like step has just found no worker. It returns
// the time at which to try again.
func (p *plan) attempt(s *step) dotterclock.Millis {
	again := p.now + replanInterval
	if j := s.occurrence.job; j.leaving || j.outcome != "" || p.board.excluded[j.ID] {
		return again // because of another of its steps
	}
	if p.isBlocked(s) && !p.isStarving(s) && !p.hasFreedRoom(s) {
		s.endHold(p.now)
		if p.isOverdue(s) {
			p.left = s.waiting
			p.ahead.reserve(s)
		}
		return min(again, p.now+blockedDuration(s))
	}
	if p.placeWithinCap(s) {
		return again
	}
	p.board.noteFull(p.now)
	p.ahead.reserve(s)
	key := p.keyOf(s)
	p.board.blocked[key] = append(p.board.blocked[key], blockedSize{size: s.Size, until: p.now + blockedDuration(s)})
	return min(again, p.now+blockedDuration(s))
}

const (
	// fillRetryDelay is how long filling steps that found no worker wait for the next
	// attempt. It is short compared with the run time of their tasks, and tail latencies
	// change no faster.
	fillRetryDelay = 60 * dotterclock.Millisecond
	// retryDelay is the same for other steps, which wait for capacity.
	retryDelay = 10 * dotterclock.Millisecond
)

func blockedDuration(s *step) dotterclock.Millis {
	if s.Fills {
		return fillRetryDelay
	}
	return retryDelay
}

// backlog returns the number of queued filling tasks as a multiple of backlogPerWorker
// tasks per worker.
func (p *plan) backlog(candidates []candidate) float64 {
	tasks := 0
	for _, c := range candidates {
		if c.step.Fills && c.step.heldSince == 0 && p.now-c.step.readyAt > queueDelay {
			tasks += c.step.waiting
		}
	}
	return float64(tasks) / (backlogPerWorker * float64(max(1, len(p.board.workersByID))))
}

// load returns the worker's load, and sets open if it was computed in this pass.
func (p *plan) load(w *worker) *workerLoad {
	l := p.board.loadOf(p.now, w)
	if l.at == p.now {
		l.open = p.board.isOpen(p.now, w)
	}
	return l
}

// blockedKey identifies steps whose placement differs only in the size of their tasks.
type blockedKey struct {
	service, image, label, rack string
	fills                       bool
	ahead                       aheadKey
	exclusive                   *step // set for a step whose placement depends on its own state; it shares its key with no other
}

func keyOf(s *step) blockedKey {
	k := blockedKey{service: s.occurrence.job.queue.Service, image: s.Image, label: s.Label, rack: s.DataRack, fills: s.Fills}
	if s.PerWorker > 0 || s.Gang || s.occurrence.job.queue.Advice != nil {
		k.exclusive = s
	}
	return k
}

// blockedSize is a task size for which no worker was found. Until then, steps of the
// same key that need at least as much are skipped.
type blockedSize struct {
	size  dotterroom.Room
	until dotterclock.Millis
}

// unblock removes the blocked sizes whose retry delay is over.
func (p *plan) unblock() {
	for key, sizes := range p.board.blocked {
		sizes = slices.DeleteFunc(sizes, func(s blockedSize) bool { return s.until <= p.now })
		if len(sizes) == 0 {
			delete(p.board.blocked, key)
		} else {
			p.board.blocked[key] = sizes
		}
	}
}

// isBlocked reports whether a step of the same key with the same size or a smaller one
// has just found no worker.
func (p *plan) isBlocked(s *step) bool {
	if len(p.board.blocked) == 0 {
		return false
	}
	for _, b := range p.board.blocked[p.keyOf(s)] {
		if b.size.Fits(s.Size) {
			return true
		}
	}
	return false
}

// candidates returns the ready steps with tasks to place, in the order of placement.
func (p *plan) candidates() []candidate {
	var cs []candidate
	for _, j := range slices.Clone(p.board.open) { // excluding a job changes it
		p.board.contain(j.ID, func() { cs = append(cs, p.candidatesOf(j)...) })
	}
	slices.SortStableFunc(cs, func(a, b candidate) int {
		return cmp.Or(
			compareBool(b.missed, a.missed),
			cmp.Compare(a.step.occurrence.job.queue.Rank, b.step.occurrence.job.queue.Rank),
			cmp.Compare(a.timeliness, b.timeliness),
			// Long-running tasks hold their capacity a hundred times as long as others.
			compareBool(a.step.LongRunning, b.step.LongRunning),
			compareSizes(a, b),
			cmp.Compare(a.objective, b.objective),
		)
	})
	p.orderByTenant(cs)
	return cs
}

// compareSizes orders two steps that are otherwise alike by size. Small tasks fit into gaps, and would fragment
// the capacity that large ones need. Lost tasks are ordered the other way round: most of them run again
// soon if the small ones come first, and room for large ones is reserved.
func compareSizes(a, b candidate) int {
	if a.missed {
		return cmp.Compare(a.step.Reserved().MilliCores, b.step.Reserved().MilliCores)
	}
	return cmp.Compare(b.step.sizeClass(), a.step.sizeClass())
}

// candidatesOf returns the ready steps of a job with tasks to place.
func (p *plan) candidatesOf(j *job) []candidate {
	var cs []candidate
	if j.runs > 0 {
		j.idleSince = 0
	}
	for _, o := range j.occurrences {
		if o.open == 0 {
			continue
		}
		for _, s := range o.steps {
			if s.waiting == 0 {
				s.waitingSince = 0
				s.endHold(p.now)
			} else if s.ready(p.wall) {
				if s.readyAt == 0 {
					s.readyAt = p.now
				}
				if s.waitingSince == 0 {
					s.waitingSince = p.now
				}
				if j.runs == 0 && j.idleSince == 0 {
					j.idleSince = p.now
				}
				objective := o.objective(p.wall, p.now)
				cs = append(cs, candidate{step: s, objective: objective, timeliness: p.timelinessOf(s, objective), missed: p.isMissed(s)})
			}
		}
	}
	return cs
}

// isMissed reports whether a long-running task of the step is overdue or restarts at once.
func (p *plan) isMissed(s *step) bool {
	return p.board.restarts(s) || p.isOverdue(s)
}

// isOverdue reports whether a long-running task of the step that has run before waits for
// missedDelay or longer, or for lostMissedDelay or longer if its run was lost.
func (p *plan) isOverdue(s *step) bool {
	waited := p.now - s.waitingSince
	if !s.LongRunning || waited < lostMissedDelay {
		return false
	}
	return slices.ContainsFunc(s.tasks, func(t *task) bool {
		return t.phase == waiting && t.run > 0 && (t.runLost || waited >= missedDelay)
	})
}

// hasFreedRoom reports whether a lost task of the step may start in room that became free since the last
// plan. Without a retry at once, smaller tasks would take it during the retry delay.
func (p *plan) hasFreedRoom(s *step) bool {
	if !p.isOverdue(s) {
		return false
	}
	return slices.ContainsFunc(p.board.freed, func(w *worker) bool {
		return w.Service == s.occurrence.job.queue.Service && p.obstacle(p.load(w), s, s.Reserved()) == noObstacle
	})
}

// noteFreed records that room on the worker became free.
func (b *Board) noteFreed(w *worker) {
	if !slices.Contains(b.freed, w) {
		b.freed = append(b.freed, w)
	}
}

// restarts reports whether the step has serving tasks that restart before other tasks.
func (b *Board) restarts(s *step) bool {
	return b.settings.RestartServing && s.Serves() && s.restarting()
}

// restarting reports whether a task of the step that has run before waits.
func (s *step) restarting() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.phase == waiting && t.run > 0 })
}

// restartsWaiting returns the number of the step's waiting tasks that have run before.
func (s *step) restartsWaiting() int {
	n := 0
	for _, t := range s.tasks {
		if t.phase == waiting && t.run > 0 {
			n++
		}
	}
	return n
}

// timelinessOf returns whether the step's job can end in time if its tasks start now.
func (p *plan) timelinessOf(s *step, objective dotterclock.Millis) timeliness {
	if s.LongRunning {
		return onTime // its value lies in running, not in ending
	}
	soonest := p.now + dotterclock.Millis(minEstimateFraction*float64(s.remainingPath))
	begin := s.occurrence.releaseTime(p.wall, p.now)
	switch {
	case soonest <= objective:
		return onTime
	case soonest <= begin+usefulFactor*(objective-begin):
		return late
	}
	return expired
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// place binds up to p.left tasks of the step to workers as long as there is one; it reports
// whether all these were bound.
func (p *plan) place(s *step) bool {
	if s.Gang {
		return p.placeGang(s)
	}
	r := p.rank(s)
	if p.fitsBetterElsewhere(s, r) {
		return true
	}
	all := p.placeRanked(s, r)
	p.placeTrials(s)
	return all
}

// placeRanked binds the tasks of the step that need no trial to the ranked workers. It
// reports whether all were bound.
func (p *plan) placeRanked(s *step, r *ranking) bool {
	for t := range p.placeable(s) {
		if p.left == 0 {
			return true
		}
		if t.phase != waiting || t.needsTrial() {
			continue
		}
		w := r.best()
		if w != nil && p.keepsRoomFrom(t, w) {
			r.obstacles[blockedKept] = len(r.workers)
			w = nil
		}
		if w == nil {
			p.board.logWaiting(p.now, s, r.obstacles)
			return false
		}
		p.bind(t, w)
		if r.starving {
			return false // one task ends the starvation
		}
		r.update()
	}
	return true
}

// placeable returns the tasks of the step that this plan may place: of a missed step those that have run before,
// as the others are not missed.
func (p *plan) placeable(s *step) iter.Seq[*task] {
	missed := s.LongRunning && p.isMissed(s) && slices.ContainsFunc(s.tasks, func(t *task) bool {
		return t.phase == waiting && t.run > 0 && !t.needsTrial()
	})
	return func(yield func(*task) bool) {
		for i := range s.Count {
			if missed && i == len(s.tasks) {
				return
			}
			if t := s.task(i); (!missed || t.run > 0) && !yield(t) {
				return
			}
		}
	}
}

// placeTrials binds the tasks of the step that need a trial. Each has a ranking of its own, since
// the ones before it have closed their workers.
func (p *plan) placeTrials(s *step) {
	for _, t := range s.tasks {
		if p.left == 0 {
			return
		}
		if t.phase != waiting || !t.needsTrial() {
			continue
		}
		r := p.rankForTrial(s)
		w := r.best()
		if w == nil {
			p.board.logWaiting(p.now, s, r.obstacles)
			return
		}
		p.bind(t, w)
	}
}

const (
	// starvationDelay is how long a job of filling tasks may have nothing running on a mostly
	// idle pool. After that one task starts even if it overloads serving tasks. It is half
	// the time after which the users give the job up.
	starvationDelay = 1500 * dotterclock.Millisecond
	// mostlyIdleFraction is the reserved fraction of a service's processor time below which its
	// pool is mostly idle.
	mostlyIdleFraction = 0.6
)

// isStarving reports whether the step is a filling one whose job has had no task on a
// worker for starvationDelay while the pool is mostly idle.
func (p *plan) isStarving(s *step) bool {
	j := s.occurrence.job
	if !s.Fills || j.runs > 0 || j.idleSince == 0 || p.now-j.idleSince < starvationDelay {
		return false
	}
	reserved, capacity := int64(0), int64(0)
	for _, w := range p.workers[j.queue.Service] {
		reserved, capacity = reserved+w.reserved.MilliCores, capacity+w.Capacity.MilliCores
	}
	return float64(reserved) < mostlyIdleFraction*float64(capacity)
}

func (p *plan) bind(t *task, w *worker) {
	if k, ok := p.board.kept[w.Service]; ok && !t.step.Fills {
		k.placed(p.now, t, w.free().MilliCores)
	}
	if t.run > 0 && p.board.restarts(t.step) {
		p.board.noteRestart(p.now, p.load(w), t)
	}
	p.board.bind(p.now, t, w)
	p.left--
	p.ahead.placed(t, w)
	t.boundAt = p.now
	w.faults.recordPlacement(p.now)
}

// placeGang binds all tasks of a gang or none, a rack-sensitive gang on one rack if
// possible.
func (p *plan) placeGang(s *step) bool {
	if s.waiting < s.Count {
		return true // the previous run has to end first
	}
	racks := []string{""}
	if s.RackSensitive {
		racks = append(p.racks(s.occurrence.job.queue.Service), "")
	}
	for _, rack := range racks {
		p.rack = rack
		if p.tryGang(s) {
			p.rack = ""
			return true
		}
	}
	p.rack = ""
	return false
}

func (p *plan) tryGang(s *step) bool {
	run := 0
	for _, t := range s.allTasks() {
		run = max(run, t.run)
	}
	resume := s.newestCheckpoint()
	for i, t := range s.tasks {
		w := p.choose(t)
		if w == nil {
			for _, placed := range s.tasks[:i] {
				p.board.release(p.now, placed, dotteraccount.Dropped)
				p.left++
			}
			return false
		}
		t.run, t.checkpoint = run, resume // the same for all tasks of a gang
		p.bind(t, w)
	}
	return true
}

// newestCheckpoint returns the checkpoint of the gang's members that was listed last; empty if there
// is none. Each member's is valid for all of them.
func (s *step) newestCheckpoint() string {
	newest := s.tasks[0]
	for _, t := range s.tasks {
		if t.checkpoint != "" && (newest.checkpoint == "" || t.savedAt > newest.savedAt) {
			newest = t
		}
	}
	return newest.checkpoint
}

// racks returns the racks of the service's workers, sorted.
func (p *plan) racks(service string) []string {
	var racks []string
	for _, w := range p.workers[service] {
		racks = append(racks, w.Rack)
	}
	slices.Sort(racks)
	return slices.Compact(racks)
}
