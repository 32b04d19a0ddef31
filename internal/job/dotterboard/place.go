package dotterboard

import (
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

const (
	// servingUse is the part of its declared processor time that a serving task is
	// taken to use: they declare for their peaks.
	servingUse = 0.5
	// unmeasuredUse is the part of its declared processor time that any other task is
	// taken to use before it was measured: they declare up to half more than they use.
	unmeasuredUse = 0.85
	// fillNeed is the part of its declared processor time that a filling task must
	// find left over on a worker: a worker gives what is left over to the tasks one
	// after the other, and the last one gets nothing.
	fillNeed = 0.85
	// loadLimit is the predicted load of a serving task up to which its worker gets
	// one more task that presses on it; at 0.8 its tail is at its target.
	loadLimit = 0.7
	// doubtLimit is the deviation of a task's predicted effect from which it is an
	// experiment; a worker gets one at a time.
	doubtLimit = 0.1
	// doubtWeight is what a deviation costs in the score of a worker.
	doubtWeight = 1
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
	worker    *worker
	used      int64   // processor time that its runs are taken to use, thousandths of a core
	serving   []*task // that answer users
	filling   []*task // that use what is left over
	unsettled bool    // one of them began so lately that its effect does not show yet
}

func newLoad(now dotterclock.Millis, w *worker) *load {
	l := &load{worker: w}
	for _, t := range w.runs {
		l.add(now, t)
	}
	return l
}

// add counts a run in.
func (l *load) add(now dotterclock.Millis, t *task) {
	l.used += use(now, t)
	switch {
	case t.step.Serves():
		l.serving = append(l.serving, t)
	case t.step.Fills:
		l.filling = append(l.filling, t)
		l.unsettled = l.unsettled || t.phase != running || now-t.startedAt < 2*settleSpan
	}
}

// use returns the processor time that a run is taken to use.
func use(now dotterclock.Millis, t *task) int64 {
	size := float64(t.step.Size.MilliCores)
	if t.step.Serves() {
		return int64(servingUse * size)
	}
	if t.phase == running && now-t.startedAt > settleSpan && t.pace == 100 && float64(t.used) > size/2 {
		return t.used
	}
	return int64(unmeasuredUse * size * float64(t.paceWanted) / 100)
}

// left returns the processor time that nothing uses.
func (l *load) left() int64 {
	return l.worker.Capacity.MilliCores - l.used
}

// pressed returns the highest load that a serving task on the worker is predicted to
// have beside one more task of the step, and how doubtful that is.
func (b *Board) pressed(now dotterclock.Millis, l *load, s *step) (highest, doubt float64) {
	used := int64(unmeasuredUse * float64(s.Size.MilliCores))
	for _, victim := range l.serving {
		e := b.learned.effect(now, l.worker, victim, &s.Step, used)
		sum := victim.ownLoad(now).Mean + e.Mean
		for _, t := range l.filling {
			sum += b.learned.effect(now, l.worker, victim, &t.step.Step, use(now, t)).Mean
		}
		highest = max(highest, sum)
		doubt = max(doubt, e.Deviation)
	}
	return highest, doubt
}

// pressedBy returns what the filling tasks on the worker are predicted to add to the
// load of a serving task of the step.
func (b *Board) pressedBy(now dotterclock.Millis, l *load, s *step) float64 {
	sum := 0.0
	for _, t := range l.filling {
		sum += b.learned.effect(now, l.worker, s.tasks[0], &t.step.Step, use(now, t)).Mean
	}
	return sum
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
		highest, doubt := b.pressed(now, l, s)
		if highest > loadLimit || doubt > doubtLimit && l.unsettled {
			return 0, false
		}
		// Away from serving tasks first, then beside those that it is known not to
		// disturb, then where most is left over.
		return score - highest - doubtWeight*doubt - float64(l.used)/capacity, true
	case s.Serves():
		// Serving tasks together, so that others find workers without any, and away
		// from filling tasks that are known to press on them.
		return score + float64(w.reserved.MilliCores)/capacity - b.pressedBy(now, l, s), true
	}
	// Beside serving tasks, which it does not disturb, and into the smallest gap that takes it.
	return score + float64(w.reserved.MilliCores)/capacity, true
}

// obstacle is why a worker gets no task of a step.
type obstacle string

// The obstacles, in the order in which they are looked at.
const (
	noObstacle    obstacle = ""
	blockedRoom   obstacle = "Room"      // what is not reserved does not take the task
	blockedUnused obstacle = "Processor" // the processor time left over does not take the filling task
	blockedWorker obstacle = "Worker"    // draining, silent, out, of another service or without the label
	blockedTrust  obstacle = "Trust"     // in quarantine
	blockedSpread obstacle = "PerWorker" // as many of the step as it allows are there
	blockedTicket obstacle = "Ticket"    // not admitted
	blockedRack   obstacle = "Rack"      // of another rack than the gang is tried on
	blockedLoad   obstacle = "Load"      // a serving task there would be overloaded
)

// obstacle returns why the worker gets no task of the step, apart from its score.
func (p *plan) obstacle(l *load, s *step) obstacle {
	w := l.worker
	switch {
	case !s.Reserved().Fits(w.free()):
		return blockedRoom
	case s.Fills && float64(l.left()) < fillNeed*float64(s.Size.MilliCores):
		return blockedUnused
	case !p.board.mayStart(p.now, w, s):
		return blockedWorker
	case !w.conduct.trusted(p.now):
		return blockedTrust
	case s.PerWorker > 0 && perWorker(w, s) >= s.PerWorker:
		return blockedSpread
	case s.occurrence.job.queue.Advice != nil && !s.tickets.valid(p.now, w):
		return blockedTicket
	case s.Gang && s.RackSensitive && p.rack != "" && w.Rack != p.rack:
		return blockedRack
	}
	return noObstacle
}

// choose returns the best worker for a task of the step, or nil.
func (p *plan) choose(s *step) *load {
	var best *load
	bestScore := 0.0
	obstacles := map[obstacle]int{}
	for _, l := range p.loads[s.occurrence.job.queue.Service] {
		if o := p.obstacle(l, s); o != noObstacle {
			obstacles[o]++
			continue
		}
		score, ok := p.board.score(p.now, l, s)
		if !ok {
			obstacles[blockedLoad]++
			continue
		}
		if best == nil || score > bestScore {
			best, bestScore = l, score
		}
	}
	if best == nil {
		p.board.waits(p.now, s, obstacles)
	}
	return best
}

// waitLogSpan is how often a step that finds no worker is logged.
const waitLogSpan = dotterclock.Second

// waits logs what keeps a step waiting, one step at a time.
func (b *Board) waits(now dotterclock.Millis, s *step, obstacles map[obstacle]int) {
	if now-b.waitLogAt < waitLogSpan {
		return
	}
	b.waitLogAt = now
	j := s.occurrence.job
	b.logger.Info("step waits for a worker", zap.String("Job", string(j.ID)), zap.Int("Step", s.number),
		zap.Int("Tasks", s.waiting), zap.String("Size", s.Size.String()), zap.Bool("Fills", s.Fills),
		zap.Int64("AgeMs", int64(now-j.seenAt)), zap.Any("WorkersByObstacle", obstacles))
}
