package dotterboard

import (
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

const (
	// fillNeed is the part of its declared processor time that a filling task must
	// find left over on a worker: a worker gives what is left over to the tasks one
	// after the other, and the last one gets nothing.
	fillNeed = 0.85
	// loadStrict is the predicted load of a serving task up to which its worker gets
	// one more task that presses on it, as long as that task has time to wait for
	// another worker; at 0.8 the tail is at its target.
	loadStrict = 0.66
	// loadLoose replaces loadStrict for a task that has waited for patienceSpan, and
	// for all while filling tasks queue.
	loadLoose = 0.77
	// backlogPart is the number of filling tasks that wait, by worker, from which they
	// count as a queue.
	backlogPart = 0.5
	// queueSpan is how long a filling task waits before it counts as queued.
	queueSpan = 150 * dotterclock.Millisecond
	// patienceSpan is how long a filling task may wait for a worker where it harms
	// nobody: what the queues of the users' filling work allow beside its run time.
	patienceSpan = dotterclock.Second
	// doubtLimit is the deviation of a task's predicted effect from which it is an
	// experiment; a worker gets one at a time.
	doubtLimit = 0.1
	// doubtWeight is what a deviation costs in the score of a worker.
	doubtWeight = 1
	// slowCost is what a worker's slowness above slowSlack, a logarithm, costs in its score.
	slowCost  = 2.0
	slowSlack = 0.4
	// rackBonus is the score of standing on the rack of the data; above all others.
	rackBonus = 10.0
)

// mayStart reports whether tasks of the step may start on the worker now.
func (b *Board) mayStart(now dotterclock.Millis, w *worker, s *step) bool {
	return w.Service == s.occurrence.job.queue.Service && w.HasLabel(s.Label) && b.isOpen(now, w)
}

// isOpen reports whether tasks may start on the worker, whatever they are.
func (b *Board) isOpen(now dotterclock.Millis, w *worker) bool {
	return !w.Draining && !b.outDomains[w.FailureDomain] && w.asked && w.failedAt == 0 && now-w.heardAt < heardSpan &&
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

// obstacle is why a worker gets no task of a step.
type obstacle int

// The obstacles, in the order in which they are looked at.
const (
	noObstacle    obstacle = iota
	blockedRoom            // what is not reserved does not take the task
	blockedUnused          // the processor time left over does not take the filling task
	blockedWorker          // draining, silent, out of service or without the label
	blockedTrust           // in quarantine
	blockedSpread          // as many of the step as it allows are there
	blockedTicket          // not admitted
	blockedRack            // of another rack than the gang is tried on
	blockedLoad            // a serving task there would be overloaded
	obstacleKinds          // number of the above
)

var obstacleNames = [obstacleKinds]string{"None", "Room", "Processor", "Worker", "Trust", "PerWorker", "Ticket", "Rack", "Load"}

// obstacle returns why the worker gets no task of the step, apart from its score.
func (p *plan) obstacle(l *workerLoad, s *step, reserved dotterroom.Room) obstacle {
	w := l.worker
	switch {
	case !reserved.Fits(w.free()):
		return blockedRoom
	case s.Fills && float64(l.left()) < fillNeed*float64(s.Size.MilliCores):
		return blockedUnused
	case !l.open || !w.HasLabel(s.Label):
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

// score returns how well a task of the step does on the worker, higher is better,
// or false if it must not go there.
func (b *Board) score(now dotterclock.Millis, l *workerLoad, s *step) (float64, bool) {
	w := l.worker
	score := 0.0
	if s.DataRack != "" && w.Rack == s.DataRack {
		score += rackBonus
	}
	score -= w.conduct.decayed(now) + slowCost*max(0, b.slowness(now, w)-slowSlack)
	capacity := float64(max(1, w.Capacity.MilliCores))
	switch {
	case s.Fills:
		highest, doubt := b.pressed(now, l, s)
		if highest > b.loadLimit(now, s) || doubt > doubtLimit && l.unsettled {
			return 0, false
		}
		// Away from serving tasks first, then beside those that it is known not to
		// disturb, then where most is left over.
		return score - highest - doubtWeight*doubt - float64(l.used)/capacity, true
	case s.Serves():
		// Serving tasks together, so that others find workers without any; those of one
		// step together, so that their worker bears more while their users are few, and
		// those of one image, so that each filling image finds workers where it harms none;
		// and away from filling tasks that are known to press on them.
		return score + float64(w.reserved.MilliCores)/capacity + l.affinity(s)/capacity - b.pressedBy(now, l, s), true
	}
	// Beside serving tasks, which it does not disturb, and into the smallest gap that takes it.
	return score + float64(w.reserved.MilliCores)/capacity, true
}

// loadLimit returns the predicted load of a serving task up to which its worker gets a
// task of the step.
func (b *Board) loadLimit(now dotterclock.Millis, s *step) float64 {
	waited := float64(now-s.readyAt) / float64(patienceSpan)
	return loadStrict + (loadLoose-loadStrict)*min(1, max(waited, b.backlog))
}

// choose returns the best worker for a task of the step, or nil.
func (p *plan) choose(s *step) *worker {
	r := p.rank(s)
	w := r.best()
	if w == nil {
		p.board.waits(p.now, s, r.obstacles)
	}
	return w
}

// waitLogSpan is how often a step that finds no worker is logged.
const waitLogSpan = dotterclock.Second

// waits logs what keeps a step waiting, one step at a time.
func (b *Board) waits(now dotterclock.Millis, s *step, obstacles [obstacleKinds]int) {
	if now-b.waitLogAt < waitLogSpan {
		return
	}
	b.waitLogAt = now
	counts := map[string]int{}
	for o, n := range obstacles {
		if n > 0 {
			counts[obstacleNames[o]] = n
		}
	}
	j := s.occurrence.job
	b.logger.Info("step waits for a worker", zap.String("Job", string(j.ID)), zap.Int("Step", s.number),
		zap.Int("Tasks", s.waiting), zap.String("Size", s.Size.String()), zap.Bool("Fills", s.Fills),
		zap.Int64("AgeMs", int64(now-j.seenAt)), zap.Any("WorkersByObstacle", counts))
}
