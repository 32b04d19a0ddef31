package dotterboard

import (
	"cmp"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// plan is one pass over the steps whose turn has come.
type plan struct {
	board *Board
	now   dotterclock.Millis
	wall  dotterclock.Millis
	loads map[string][]*load // by service
	rack  string             // that a gang which depends on its rack is tried on
}

// candidate is a step that has tasks to place.
type candidate struct {
	step      *step
	objective dotterclock.Millis
}

// Plan binds the tasks whose turn has come to workers; wall is the time of day. It
// returns when it is worth planning again though nothing changes.
func (b *Board) Plan(now, wall dotterclock.Millis) dotterclock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(now)
	p := &plan{board: b, now: now, wall: wall, loads: map[string][]*load{}}
	candidates := p.candidates()
	if len(candidates) == 0 {
		return now + heardSpan
	}
	for _, w := range b.order {
		if len(w.Service) > 0 && w.asked {
			p.loads[w.Service] = append(p.loads[w.Service], newLoad(now, w))
		}
	}
	blocked := map[blockedKey]bool{}
	for _, c := range candidates {
		key := keyOf(c.step)
		if blocked[key] {
			continue
		}
		if !p.place(c.step) {
			blocked[key] = true
		}
	}
	return now + 200
}

// blockedKey names steps that find no worker for the same reason.
type blockedKey struct {
	service, image, label, rack string
	cpu, memory                 int64 // in units of sizeClass
	fills, constrained          bool
}

// Sizes are told apart in these units when a step is passed over because a like one found no worker.
const (
	cpuClass    = 1000 // thousandths of a core
	memoryClass = 2048 // MB
)

func keyOf(s *step) blockedKey {
	return blockedKey{
		service: s.occurrence.job.queue.Service, image: s.Image, label: s.Label, rack: s.DataRack,
		cpu: s.Size.MilliCores / cpuClass, memory: s.Size.MemoryMB / memoryClass,
		fills: s.Fills, constrained: s.PerWorker > 0 || s.Gang || s.Size.Accelerators > 0,
	}
}

// candidates returns the steps that have tasks to place, in the order in which they get room.
func (p *plan) candidates() []candidate {
	var cs []candidate
	for _, j := range p.board.open {
		for _, o := range j.occurrences {
			if o.open == 0 {
				continue
			}
			for _, s := range o.steps {
				if s.waiting > 0 && s.ready(p.wall) {
					cs = append(cs, candidate{step: s, objective: o.objective(p.wall, p.now)})
				}
			}
		}
	}
	slices.SortStableFunc(cs, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.step.occurrence.job.queue.Rank, b.step.occurrence.job.queue.Rank),
			compareBool(a.objective < p.now, b.objective < p.now), // what can still be in time goes first
			cmp.Compare(a.objective, b.objective),
		)
	})
	return cs
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
	for _, t := range s.tasks {
		if t.phase != waiting {
			continue
		}
		l := p.choose(s)
		if l == nil {
			return false
		}
		p.bind(t, l)
	}
	return true
}

func (p *plan) bind(t *task, l *load) {
	p.board.bind(t, l.worker)
	l.worker.conduct.chosen(p.now)
	l.add(p.now, t)
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
		l := p.choose(s)
		if l == nil {
			for _, placed := range s.tasks[:i] {
				p.unbind(placed)
			}
			return false
		}
		t.run = run // the members of one run share its number
		p.bind(t, l)
	}
	return true
}

// unbind takes back a binding of this plan.
func (p *plan) unbind(t *task) {
	w := t.worker
	p.board.release(t)
	for i, l := range p.loads[w.Service] {
		if l.worker == w {
			p.loads[w.Service][i] = newLoad(p.now, w)
		}
	}
}

// racks returns the racks of the service's workers, sorted.
func (p *plan) racks(service string) []string {
	var racks []string
	for _, l := range p.loads[service] {
		racks = append(racks, l.worker.Rack)
	}
	slices.Sort(racks)
	return slices.Compact(racks)
}
