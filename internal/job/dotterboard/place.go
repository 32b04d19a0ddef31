package dotterboard

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// servingUse is the part of its declared processor time that a serving task is
	// taken to use: they declare for their peaks.
	servingUse = 0.6
	// fillNeed is the part of its declared processor time that a filling task must
	// find left over on a worker.
	fillNeed = 0.8
	// tailLimit is the predicted tail, in targets, up to which a worker gets one
	// more task that presses on its serving tasks.
	tailLimit = 0.6
	// rackBonus is the score of standing on the rack of the data; above all others.
	rackBonus = 10.0
)

// mayStart reports whether tasks of the step may start on the worker now.
func (b *Board) mayStart(now dotterclock.Millis, w *worker, s *step) bool {
	service := s.occurrence.job.queue.Service
	return w.Service == service && !w.Draining && !b.out[w.FailureDomain] && w.HasLabel(s.Label) &&
		w.asked && w.failedAt == 0 && now-w.heardAt < heardSpan &&
		(w.listed || now-w.missingAt < b.settings.ReturnSpan)
}

// perWorker returns how many tasks of the step are on the worker.
func perWorker(w *worker, s *step) int {
	n := 0
	for _, t := range w.runs {
		if t.step == s {
			n++
		}
	}
	return n
}

// load is what a plan needs to know of a worker.
type load struct {
	worker  *worker
	used    int64   // processor time that its runs are taken to use, thousandths of a core
	serving []*task // that answer users
	tail    float64 // highest tail of them, in targets
}

func newLoad(w *worker) *load {
	l := &load{worker: w}
	for _, t := range w.runs {
		l.add(t)
	}
	return l
}

// add counts a run in.
func (l *load) add(t *task) {
	size := t.step.Size.MilliCores
	switch {
	case t.step.Serves():
		l.used += int64(servingUse * float64(size))
		l.serving = append(l.serving, t)
		l.tail = max(l.tail, ratio(t))
	case t.step.Fills:
		l.used += size * int64(t.paceWanted) / 100
	default:
		l.used += size
	}
}

// left returns the processor time that nothing uses.
func (l *load) left() int64 {
	return l.worker.Capacity.MilliCores - l.used
}

// fits reports whether one more task of the step fits into the worker's room.
func (l *load) fits(s *step) bool {
	if !s.Reserved().Fits(l.worker.free()) {
		return false
	}
	return !s.Fills || float64(l.left()) >= fillNeed*float64(s.Size.MilliCores)
}

// pressed returns the highest tail that a serving task on the worker is predicted
// to have beside one more task of the step.
func (b *Board) pressed(now dotterclock.Millis, l *load, s *step) float64 {
	if s.Image == "" {
		return l.tail
	}
	highest := 0.0
	for _, victim := range l.serving {
		highest = max(highest, ratio(victim)+b.learned.effect(now, l.worker, victim, &s.Step))
	}
	return highest
}

// score returns how well a task of the step does on the worker, higher is better,
// or false if it must not go there.
func (b *Board) score(now dotterclock.Millis, l *load, s *step) (float64, bool) {
	w := l.worker
	score := 0.0
	if s.DataRack != "" && w.Rack == s.DataRack {
		score += rackBonus
	}
	score -= w.conduct.decayed(now)
	capacity := float64(max(1, w.Capacity.MilliCores))
	switch {
	case s.Fills:
		tail := b.pressed(now, l, s)
		if tail > tailLimit {
			return 0, false
		}
		// Away from serving tasks first, then where most is left over.
		return score - 2*tail - float64(l.used)/capacity, true
	case s.Serves():
		tail := b.pressed(now, l, s)
		if tail > tailLimit {
			score -= tail
		}
		// Serving tasks together, so that others find workers without any.
		return score + float64(w.reserved.MilliCores)/capacity - 0.2*float64(fills(w))/float64(1+len(w.runs)), true
	}
	// Beside serving tasks, which it does not disturb, and into the smallest gap that takes it.
	return score + float64(w.reserved.MilliCores)/capacity, true
}

func fills(w *worker) int {
	n := 0
	for _, t := range w.runs {
		if t.step.Fills {
			n++
		}
	}
	return n
}

// choose returns the best worker for a task of the step, or nil.
func (p *plan) choose(s *step) *load {
	var best *load
	bestScore := 0.0
	for _, l := range p.loads[s.occurrence.job.queue.Service] {
		if !l.fits(s) || !p.board.mayStart(p.now, l.worker, s) || !l.worker.conduct.trusted(p.now) {
			continue
		}
		if s.PerWorker > 0 && perWorker(l.worker, s) >= s.PerWorker {
			continue
		}
		if s.occurrence.job.queue.Advice != nil && !s.tickets.valid(p.now, l.worker) {
			continue
		}
		if s.Gang && s.RackSensitive && p.rack != "" && l.worker.Rack != p.rack {
			continue
		}
		score, ok := p.board.score(p.now, l, s)
		if ok && (best == nil || score > bestScore) {
			best, bestScore = l, score
		}
	}
	return best
}
