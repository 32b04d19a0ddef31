package dotterowner

import (
	"errors"
	"sort"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

const (
	// planInterval is the minimum time between two plans, in milliseconds.
	planInterval = 100
	// planPerTemplate is the maximum number of tasks of one template in a plan.
	planPerTemplate = 512
	// replanInterval is the time after which queued tasks are planned again even if
	// nothing has changed.
	replanInterval = dotterclock.Second
)

// plan requests a plan from the Placer and carries it out.
func (o *Owner) plan(now dotterclock.Millis) {
	o.dirty = false
	o.nextPlan = now + planInterval
	state := o.planState(now)
	if len(state.Queue) == 0 && len(o.attempts) == 0 {
		return
	}
	plan := o.options.Placer.Plan(state)
	for _, e := range plan.Evictions {
		if att, ok := o.attempts[e.Task]; ok {
			o.evict(att, e.Reason)
		}
	}
	for _, t := range plan.Throttles {
		if att, ok := o.attempts[t.Task]; ok && att.phase == phaseRunning {
			att.pendingThrottle = t.Percent
		}
	}
	for _, a := range plan.Assignments {
		o.assign(a)
	}
	for _, e := range plan.Failures {
		o.failQueued(e, now)
	}
	o.preassign(state.Queue)
	o.replanAt = now + replanInterval
}

// planDue reports whether the state has changed since the last plan, or
// replanInterval has passed with tasks queued or assigned.
func (o *Owner) planDue(now dotterclock.Millis) bool {
	if o.dirty {
		return now >= o.nextPlan
	}
	return now >= o.replanAt && (o.ledger.QueueLen() > 0 || len(o.attempts) > 0)
}

func (o *Owner) planState(now dotterclock.Millis) dotterplan.State {
	use := o.options.PoolUse()
	return dotterplan.State{
		Now:           now,
		Configuration: o.document,
		Queue:         o.planQueue(),
		Workers:       o.planWorkers(),
		TeamUse:       use.Teams,
		Pool:          use.Pool,
	}
}

// planQueue returns the tasks that may be placed: queued ones and preassigned
// ones, whose start has not been sent.
func (o *Owner) planQueue() []dottertask.Task {
	if o.domainOut() {
		return nil
	}
	counts := make(map[string]int)
	var tasks []dottertask.Task
	add := func(t dottertask.Task) {
		if counts[t.Template] >= planPerTemplate || !o.mayPlace(t) {
			return
		}
		counts[t.Template]++
		t.State = dottertask.StateQueued
		tasks = append(tasks, t)
	}
	for _, a := range o.attempts {
		if a.phase == phasePreassigned {
			add(a.task)
		}
	}
	o.ledger.Queue(func(e dotterrecord.Entry) bool {
		if e.Queued() && !o.isBusy(e.Task.ID) {
			add(e.Task)
		}
		return true
	})
	sort.Slice(tasks, func(i, j int) bool { return submittedBefore(tasks[i], tasks[j]) })
	return tasks
}

func submittedBefore(a, b dottertask.Task) bool {
	if a.SubmittedAt != b.SubmittedAt {
		return a.SubmittedAt < b.SubmittedAt
	}
	if len(a.ID) != len(b.ID) {
		return len(a.ID) < len(b.ID)
	}
	return a.ID < b.ID
}

func (o *Owner) mayPlace(t dottertask.Task) bool {
	allowed, _ := o.startAllowed(t)
	return allowed
}

func (o *Owner) planWorkers() []dotterplan.Worker {
	workers := make([]dotterplan.Worker, 0, len(o.workers))
	for _, w := range o.sortedWorkers() {
		workers = append(workers, o.planWorker(w))
	}
	return workers
}

func (o *Owner) planWorker(w *worker) dotterplan.Worker {
	planned := dotterplan.Worker{Host: w.host, Usable: o.usable(w)}
	for _, a := range w.sortedAttempts() {
		if !a.holdsCapacity() {
			continue
		}
		task := a.task
		task.State = o.stateOf(a)
		planned.Holders = append(planned.Holders, dotterplan.Holder{
			Task: task, Size: a.size, StartedAt: a.startedAt, ThrottlePercent: a.throttlePercent,
		})
	}
	for _, room := range w.orphans {
		planned.Holders = append(planned.Holders, dotterplan.Holder{Size: room})
	}
	return planned
}

func (o *Owner) sortedWorkers() []*worker {
	workers := make([]*worker, 0, len(o.workers))
	for _, w := range o.workers {
		workers = append(workers, w)
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].host.Name < workers[j].host.Name })
	return workers
}

// stateOf returns the state of a's task as reported to callers.
func (o *Owner) stateOf(a *attempt) dottertask.State {
	switch {
	case a.phase == phaseRunning && a.pendingOrder == orderCheckpoint:
		return dottertask.StateEvicting
	case a.phase == phaseRunning:
		return dottertask.StateRunning
	}
	return dottertask.StateAssigned
}

// assign reserves an attempt if its worker has the capacity. This is checked
// here so that a faulty Placer can't overfill a worker.
func (o *Owner) assign(a dotterplan.Assignment) {
	w, ok := o.workers[a.Worker]
	if !ok || !o.usable(w) {
		return
	}
	if att, exists := o.attempts[a.Task]; exists {
		o.assignPreassigned(att, w, a)
		return
	}
	e, ok := o.ledger.Entry(a.Task)
	if !ok || !e.Queued() || o.isBusy(a.Task) {
		return
	}
	size := a.Size.Max(e.Task.Size)
	if !size.Fits(w.free()) || e.Crashes > 0 && o.hasSuspect(w) {
		return
	}
	o.reserve(e.Task, w, size, a.Reason, false)
}

// assignPreassigned makes a preassigned attempt ready on its own worker, or
// replaces it by a new attempt on w. Its start was never sent.
func (o *Owner) assignPreassigned(att *attempt, w *worker, a dotterplan.Assignment) {
	size := a.Size.Max(att.task.Size)
	if att.phase != phasePreassigned || o.isBusy(a.Task) || !size.Fits(w.free()) {
		return
	}
	if att.worker == w.host.Name {
		att.size = size
		att.reason = a.Reason
		att.phase = phaseReady
		return
	}
	o.removeAttempt(att)
	next := o.reserve(att.task, w, size, a.Reason, false)
	next.replaced = att
}

// reserve proposes the next attempt of task on w.
func (o *Owner) reserve(task dottertask.Task, w *worker, size dotterroom.Room, reason string, preassigned bool) *attempt {
	a := &attempt{
		task: task, number: task.Attempt + 1, size: size, phase: phaseLogging,
		preassigned: preassigned, reason: reason,
	}
	a.task = a.task.WithAttempt(a.number, w.host.Name)
	o.addAttempt(w, a)
	o.propose(change{
		records: []dotterrecord.Record{{Reserved: &dotterrecord.Reserved{
			Task: task.ID, Attempt: a.number, Worker: w.host.Name, Incarnation: w.incarnation, Size: size,
		}}},
		committed: func() { o.reservationCommitted(a) },
		refused:   func(err error) { o.rollBackReservation(a, err) },
	})
	return a
}

// rollBackReservation removes a reservation that was definitely not committed, so
// that it holds no capacity while the store is unavailable, and restores the
// attempt that it replaced.
func (o *Owner) rollBackReservation(a *attempt, err error) {
	if !errors.Is(err, ErrRefused) || a.phase != phaseLogging {
		return
	}
	o.removeAttempt(a)
	if a.replaced == nil {
		return
	}
	if w, ok := o.workers[a.replaced.worker]; ok {
		o.addAttempt(w, a.replaced)
	}
}

func (o *Owner) reservationCommitted(a *attempt) {
	if a.phase != phaseLogging {
		return
	}
	a.replaced = nil
	a.phase = phaseReady
	if a.preassigned {
		a.phase = phasePreassigned
	}
}

// failQueued fails a queued task that must not be tried again.
func (o *Owner) failQueued(ending dotterplan.Failure, now dotterclock.Millis) {
	if a, ok := o.attempts[ending.Task]; ok {
		if a.phase == phasePreassigned && !o.isBusy(ending.Task) {
			o.logEnd(a, dotterrecord.Ended{
				Task: a.task.ID, Attempt: a.number, State: dottertask.StateFailed, Reason: ending.Reason, At: now,
			})
		}
		return
	}
	e, ok := o.ledger.Entry(ending.Task)
	if !ok || !e.Queued() || o.isBusy(ending.Task) {
		return
	}
	o.propose(change{records: []dotterrecord.Record{{Ended: &dotterrecord.Ended{
		Task: ending.Task, State: dottertask.StateFailed, Reason: ending.Reason, At: now,
	}}}})
}
