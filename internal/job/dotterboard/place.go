package dotterboard

import (
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

const (
	// minUnusedCPU is the fraction of a filling task's declared processor time that must be
	// unused on its worker: a worker gives unused processor time to its filling tasks one
	// after the other, and the last one gets nothing.
	minUnusedCPU = 0.85
	// strictLoadLimit is the highest predicted load of a serving task at which its worker
	// gets another filling task that can still wait for a better worker. At a load of 0.8
	// the tail latency is at its target.
	strictLoadLimit = 0.66
	// relaxedLoadLimit is the limit for a task that has waited for relaxWindow, and for all
	// filling tasks while they are backlogged; see loadLimit.
	relaxedLoadLimit = 0.77
	// backlogPerWorker is the number of queued filling tasks per worker that counts as a
	// full backlog.
	backlogPerWorker = 0.5
	// queueDelay is how long a filling task waits before it counts as queued.
	queueDelay = 150 * dotterclock.Millisecond
	// relaxWindow is the waiting time over which the load limit of a filling task rises to
	// relaxedLoadLimit. The queues of the users' filling work allow about as much in
	// addition to the run time.
	relaxWindow = dotterclock.Second
	// maxDeviation is the standard deviation of a task's predicted effect above which its
	// start is an experiment. A worker gets one experiment at a time: such a task gets no
	// worker on which the effects of other filling tasks have not settled.
	maxDeviation = 0.1
	// deviationWeight is the weight of that standard deviation in a worker's score and when
	// interferers are compared.
	deviationWeight = 1
	// slowdownCost is the weight in a worker's score of its log slowdown above
	// slowdownSlack.
	slowdownCost  = 2.0
	slowdownSlack = 0.4
	// dataRackBonus is the score of a worker on the rack of the step's data; it outweighs
	// all other terms.
	dataRackBonus = 10.0
)

// mayStart reports whether the worker accepts starts of tasks of the step.
func (b *Board) mayStart(now dotterclock.Millis, w *worker, s *step) bool {
	return w.Service == s.occurrence.job.queue.Service && w.HasLabel(s.Label) && b.isOpen(now, w)
}

// isUpToDate reports whether this owner may start anything: the directory and the cancellations
// are not out of date.
func (b *Board) isUpToDate(now dotterclock.Millis) bool {
	return now-b.directoryFreshAt < maxDirectoryAge && now-b.cancellationsFreshAt < b.settings.maxCancellationAge()
}

// isOpen reports whether the worker accepts starts, whatever the task: it is not
// draining, its failure domain is not out, it answers, and the directory lists it or
// did so less than DirectoryGrace ago.
func (b *Board) isOpen(now dotterclock.Millis, w *worker) bool {
	return b.isUpToDate(now) && !w.Draining && !w.closing && !b.outDomains[w.FailureDomain] && w.contacted && w.unansweredSince == 0 && now-w.heardAt < maxListingAge &&
		(w.inDirectory || now-w.absentSince < b.settings.DirectoryGrace)
}

// tasksOnWorker returns the number of tasks of the step on the worker.
func tasksOnWorker(w *worker, s *step) int {
	n := 0
	for _, t := range w.runs {
		if t.step == s {
			n++
		}
	}
	return n
}

// Limits of the runs on a worker and in a shard. Tasks may declare no room at all, and an owner holds
// and looks at each of them.
const (
	maxRunsPerWorker = 1024
	maxRuns          = 49_152
)

// obstacle is the reason why a worker gets no task of a step.
type obstacle int

// The obstacles, in the order in which they are checked.
const (
	noObstacle        obstacle = iota
	blockedRoom                // not enough unreserved capacity, or a limit of runs
	blockedProcessor           // not enough unused processor time for a filling task
	blockedWorker              // does not accept starts, or lacks the label
	blockedQuarantine          // quarantined for faults
	blockedPerWorker           // has the step's maximum of tasks per worker
	blockedTicket              // not admitted by the queue's policy
	blockedRack                // outside the rack on which the gang is being placed
	blockedKept                // the free room is kept from new long-running tasks
	blockedTrial               // has a run on trial
	blockedReserved            // the free room is reserved for a large task
	blockedLoad                // a serving task there would exceed its load limit
	obstacleKinds              // number of obstacles
)

// obstacleNames are the names of the obstacles in logs.
var obstacleNames = [obstacleKinds]string{"None", "Room", "Processor", "Worker", "Trust", "PerWorker", "Ticket", "Rack", "Kept", "Trial", "Reserved", "Load"}

// obstacle returns why the worker gets no task of the step, or noObstacle. blockedLoad
// is left to score.
func (p *plan) obstacle(l *workerLoad, s *step, reserved dotterroom.Room) obstacle {
	w := l.worker
	switch {
	case !reserved.Fits(w.free()) || len(w.runs) >= maxRunsPerWorker || p.board.runs >= maxRuns:
		return blockedRoom
	case s.Fills && float64(l.unusedCPU()) < minUnusedCPU*float64(s.Size.MilliCores):
		return blockedProcessor
	case !l.open || !w.HasLabel(s.Label):
		return blockedWorker
	case !w.faults.allowsTask(p.now):
		return blockedQuarantine
	case w.trials > 0:
		return blockedTrial
	case s.PerWorker > 0 && tasksOnWorker(w, s) >= s.PerWorker:
		return blockedPerWorker
	case s.occurrence.job.queue.Advice != nil && !s.tickets.valid(p.now, w):
		return blockedTicket
	case s.Gang && s.RackSensitive && p.rack != "" && w.Rack != p.rack:
		return blockedRack
	case p.ahead.withholds(w, s):
		return blockedReserved
	}
	return noObstacle
}

// score returns the worker's score for a task of the step, higher is better, or false if
// a serving task would exceed its load limit or the task would be a second experiment
// there; see maxDeviation.
func (b *Board) score(now dotterclock.Millis, l *workerLoad, s *step) (float64, bool) {
	w := l.worker
	score := 0.0
	if s.DataRack != "" && w.Rack == s.DataRack {
		score += dataRackBonus
	}
	score -= w.faults.decayedWeight(now) + slowdownCost*max(0, b.logSlowdown(now, w)-slowdownSlack)
	capacity := float64(max(1, w.Capacity.MilliCores))
	switch {
	case s.Fills:
		highest, deviation := b.predictPeakLoad(now, l, s)
		if highest > b.loadLimit(now, s) || deviation > maxDeviation && l.unsettled {
			return 0, false
		}
		// Prefer workers without serving tasks, then those whose serving tasks are known
		// to be unaffected, then those with the most unused processor time.
		return score - highest - deviationWeight*deviation - float64(l.used)/capacity, true
	case b.restarts(s):
		return score + b.restartOf(now, l, s).Score(), true
	case s.Serves():
		// Pack serving tasks together, so that workers without any remain for other tasks.
		// Prefer workers with tasks of the same step, which can take more filling tasks
		// while the users of the step are few, then with tasks of the same image, so that
		// each filling image finds workers where it does not interfere. Avoid workers with filling
		// tasks that are predicted to interfere.
		return score + float64(w.reserved.MilliCores)/capacity + l.affinity(s)/capacity - b.predictAddedLoad(now, l, s), true
	}
	// Best fit: prefer the worker with the most reserved capacity. Serving tasks there are
	// not affected by such a task.
	return score + float64(w.reserved.MilliCores)/capacity, true
}

// loadLimit returns the highest predicted load of a serving task at which its worker
// gets a task of the step. It rises linearly from strictLoadLimit to relaxedLoadLimit
// with the step's waiting time or the backlog, whichever is further.
func (b *Board) loadLimit(now dotterclock.Millis, s *step) float64 {
	waited := float64(now-s.readyAt) / float64(relaxWindow)
	return strictLoadLimit + (relaxedLoadLimit-strictLoadLimit)*min(1, max(waited, b.backlog))
}

// choose returns the worker with the highest score for a member of a gang, or nil.
func (p *plan) choose(t *task) *worker {
	if t.needsTrial() {
		if w := p.rankForTrial(t.step).best(); w != nil {
			return w
		}
	}
	r := p.rank(t.step)
	w := r.best()
	if w == nil {
		p.board.logWaiting(p.now, t.step, r.obstacles)
	}
	return w
}

// waitLogInterval is the shortest time between two log lines on waiting steps.
const waitLogInterval = dotterclock.Second

// logWaiting logs how many workers each obstacle rules out for the step. It logs at most
// one step per waitLogInterval.
func (b *Board) logWaiting(now dotterclock.Millis, s *step, obstacles [obstacleKinds]int) {
	if now-b.waitLogAt < waitLogInterval {
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
	b.logger.With(s.waitFields(now)...).Info("step waits for a worker", zap.String("Job", string(j.ID)), zap.Int("Step", s.number),
		zap.Int("Tasks", s.waiting), zap.String("Size", s.Size.String()), zap.Bool("Fills", s.Fills),
		zap.Int64("AgeMs", int64(now-j.localAcceptedAt)), zap.Any("WorkersByObstacle", counts))
}
