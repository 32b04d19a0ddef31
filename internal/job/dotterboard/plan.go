package dotterboard

import (
	"cmp"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// plan is one pass over the steps whose turn has come.
type plan struct {
	board   *Board
	now     dotterclock.Millis
	wall    dotterclock.Millis
	workers map[string][]*worker // by service
	rack    string               // that a gang which depends on its rack is tried on
}

// candidate is a step that has tasks to place.
type candidate struct {
	step      *step
	objective dotterclock.Millis
	prospect  prospect
}

// prospect is what a step's job can still come to, in the order in which steps of one
// rank get room.
type prospect int

const (
	inTime  prospect = iota // it can be done by its objective
	late                    // it can still be of use
	useless                 // its users have stopped waiting for it
)

// lateFactor is how many times its objective a job may take and still be of use.
const lateFactor = 3

// estimateTrust is the part of its declared run time that a job surely takes;
// declarations are off by half, either way.
const estimateTrust = 0.6

// replanSpan is how often waiting steps are looked at though nothing has changed.
const replanSpan = 200 * dotterclock.Millisecond

// Plan binds the tasks whose turn has come to workers; wall is the time of day. It
// returns when it is worth planning again though nothing changes.
func (b *Board) Plan(now, wall dotterclock.Millis) dotterclock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(now)
	p := &plan{board: b, now: now, wall: wall, workers: map[string][]*worker{}}
	candidates := p.candidates()
	if len(candidates) == 0 {
		return now + heardSpan
	}
	for _, w := range b.workersByID {
		if w.Service != "" && w.asked {
			p.workers[w.Service] = append(p.workers[w.Service], w)
			b.loadOf(now, w).open = b.isOpen(now, w)
		}
	}
	b.backlog = p.backlog(candidates)
	p.unblock()
	next := now + replanSpan
	for _, c := range candidates {
		if p.isBlocked(c.step) && !p.isStarving(c.step) {
			next = min(next, now+blockedSpan(c.step))
		} else if !p.place(c.step) {
			key := keyOf(c.step)
			b.blocked[key] = append(b.blocked[key], blockedSize{size: c.step.Size, until: now + blockedSpan(c.step)})
			next = min(next, now+blockedSpan(c.step))
		}
	}
	return next
}

const (
	// fillRetrySpan is how long filling steps that found no worker wait before they are
	// looked at again: it is short beside their tasks, and tails change no faster.
	fillRetrySpan = 60 * dotterclock.Millisecond
	// retrySpan is the same for other steps, which wait for room.
	retrySpan = 10 * dotterclock.Millisecond
)

func blockedSpan(s *step) dotterclock.Millis {
	if s.Fills {
		return fillRetrySpan
	}
	return retrySpan
}

// backlog returns how much filling work waits, 1 from which it counts as a queue.
func (p *plan) backlog(candidates []candidate) float64 {
	tasks := 0
	for _, c := range candidates {
		if c.step.Fills && p.now-c.step.readyAt > queueSpan {
			tasks += c.step.waiting
		}
	}
	return float64(tasks) / (backlogPart * float64(max(1, len(p.board.workersByID))))
}

// load returns what the plan knows of a worker.
func (p *plan) load(w *worker) *workerLoad {
	l := p.board.loadOf(p.now, w)
	if l.at == p.now {
		l.open = p.board.isOpen(p.now, w)
	}
	return l
}

// blockedKey names steps that differ only in the room that their tasks ask for.
type blockedKey struct {
	service, image, label, rack string
	fills                       bool
	alone                       *step // of a step that is like no other
}

func keyOf(s *step) blockedKey {
	k := blockedKey{service: s.occurrence.job.queue.Service, image: s.Image, label: s.Label, rack: s.DataRack, fills: s.Fills}
	if s.PerWorker > 0 || s.Gang || s.occurrence.job.queue.Advice != nil {
		k.alone = s
	}
	return k
}

// blockedSize is a size for which steps of a key have found no worker.
type blockedSize struct {
	size  dotterroom.Room
	until dotterclock.Millis
}

// unblock forgets the sizes that are worth another look.
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

// isBlocked reports whether a like step that asks for no more room has just found no worker.
func (p *plan) isBlocked(s *step) bool {
	if len(p.board.blocked) == 0 {
		return false
	}
	for _, b := range p.board.blocked[keyOf(s)] {
		if b.size.Fits(s.Size) {
			return true
		}
	}
	return false
}

// candidates returns the steps that have tasks to place, in the order in which they get room.
func (p *plan) candidates() []candidate {
	var cs []candidate
	for _, j := range p.board.open {
		if j.runs > 0 {
			j.idleSince = 0
		}
		for _, o := range j.occurrences {
			if o.open == 0 {
				continue
			}
			for _, s := range o.steps {
				if s.waiting > 0 && s.ready(p.wall) {
					if s.readyAt == 0 {
						s.readyAt = p.now
					}
					if j.runs == 0 && j.idleSince == 0 {
						j.idleSince = p.now
					}
					objective := o.objective(p.wall, p.now)
					cs = append(cs, candidate{step: s, objective: objective, prospect: p.prospect(s, objective)})
				}
			}
		}
	}
	slices.SortStableFunc(cs, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.step.occurrence.job.queue.Rank, b.step.occurrence.job.queue.Rank),
			cmp.Compare(a.prospect, b.prospect),
			// What lasts keeps its room a hundred times as long as what ends.
			compareBool(a.step.LongRunning, b.step.LongRunning),
			// Small tasks find room beside others, and would split what large ones need.
			cmp.Compare(b.step.sizeClass(), a.step.sizeClass()),
			cmp.Compare(a.objective, b.objective),
		)
	})
	return cs
}

// prospect returns what the step's job can come to if its tasks start now.
func (p *plan) prospect(s *step, objective dotterclock.Millis) prospect {
	if s.LongRunning {
		return inTime // each moment that it is at work counts
	}
	soonest := p.now + dotterclock.Millis(estimateTrust*float64(s.remaining))
	begin := s.occurrence.releaseTime(p.wall, p.now)
	switch {
	case soonest <= objective:
		return inTime
	case soonest <= begin+lateFactor*(objective-begin):
		return late
	}
	return useless
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

// place binds as many tasks of the step as find a worker; it reports whether all did.
func (p *plan) place(s *step) bool {
	if s.Gang {
		return p.placeGang(s)
	}
	r := p.rank(s)
	for _, t := range s.tasks {
		if t.phase != waiting {
			continue
		}
		w := r.best()
		if w == nil {
			p.board.waits(p.now, s, r.obstacles)
			return false
		}
		p.bind(t, w)
		if r.starving {
			return false // one task is enough to keep the job going
		}
		r.update()
	}
	return true
}

const (
	// starveSpan is how long a job may have nothing at work on a pool that is mostly
	// idle, whatever it would do to serving tasks: half of the time after which the
	// users take it for lost.
	starveSpan = 1500 * dotterclock.Millisecond
	// idlePart is the part of a service's processor time up to whose reservation its pool
	// counts as mostly idle.
	idlePart = 0.6
)

// isStarving reports whether the step's job has had nothing at work for too long
// beside room that nobody uses.
func (p *plan) isStarving(s *step) bool {
	j := s.occurrence.job
	if !s.Fills || j.runs > 0 || j.idleSince == 0 || p.now-j.idleSince < starveSpan {
		return false
	}
	reserved, capacity := int64(0), int64(0)
	for _, w := range p.workers[j.queue.Service] {
		reserved, capacity = reserved+w.reserved.MilliCores, capacity+w.Capacity.MilliCores
	}
	return float64(reserved) < idlePart*float64(capacity)
}

func (p *plan) bind(t *task, w *worker) {
	p.board.bind(t, w)
	w.conduct.recordPlacement(p.now)
}

// placeGang binds all tasks of a gang or none.
func (p *plan) placeGang(s *step) bool {
	if s.waiting < s.Count {
		return true // the former run has to end first
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
	for _, t := range s.tasks {
		run = max(run, t.run)
	}
	for i, t := range s.tasks {
		w := p.choose(s)
		if w == nil {
			for _, placed := range s.tasks[:i] {
				p.board.release(placed)
			}
			return false
		}
		t.run = run // the members of one run share its number
		p.bind(t, w)
	}
	return true
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
