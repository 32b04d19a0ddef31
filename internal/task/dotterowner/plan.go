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
	// planInterval is the least time between two plans.
	planInterval = 100
	// planPerTemplate is the most tasks of one template that a plan looks at.
	planPerTemplate = 512
	// replanInterval is the time after which a waiting queue is planned again though nothing changed.
	replanInterval = dotterclock.Second
)

// plan asks the Placer and carries out what it decides.
func (o *Owner) plan(now dotterclock.Millis) {
	o.dirty = false
	o.nextPlan = now + planInterval
	state := o.planState(now)
	if len(state.Queue) == 0 && len(o.runs) == 0 {
		return
	}
	plan := o.options.Placer.Plan(state)
	for _, e := range plan.Evictions {
		if r, ok := o.runs[e.Task]; ok {
			o.evict(r, e.Reason)
		}
	}
	for _, t := range plan.Throttles {
		if r, ok := o.runs[t.Task]; ok && r.phase == phaseRunning {
			r.throttle = t.Percent
		}
	}
	for _, a := range plan.Assignments {
		o.assign(a)
	}
	for _, e := range plan.Endings {
		o.endQueued(e, now)
	}
	o.reserveAhead(state.Queue)
	o.replanAt = now + replanInterval
}

// planDue reports whether something changed, or a queue has waited for a while.
func (o *Owner) planDue(now dotterclock.Millis) bool {
	if o.dirty {
		return now >= o.nextPlan
	}
	return now >= o.replanAt && (o.ledger.QueueLen() > 0 || len(o.runs) > 0)
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

// planQueue returns the tasks that may be placed: waiting ones, and those
// reserved ahead, whose start was never sent.
func (o *Owner) planQueue() []dottertask.Task {
	if o.domainOut() {
		return nil
	}
	counts := make(map[string]int)
	var tasks []dottertask.Task
	take := func(t dottertask.Task) {
		if counts[t.Template] >= planPerTemplate || !o.mayPlace(t) {
			return
		}
		counts[t.Template]++
		t.State = dottertask.StateQueued
		tasks = append(tasks, t)
	}
	for _, r := range o.runs {
		if r.phase == phaseAhead {
			take(r.task)
		}
	}
	o.ledger.Queue(func(e dotterrecord.Entry) bool {
		if e.Queued() && !o.isBusy(e.Task.ID) {
			take(e.Task)
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
	for _, r := range w.ordered() {
		if !r.holdsRoom() {
			continue
		}
		task := r.task
		task.State = o.stateOf(r)
		planned.Holders = append(planned.Holders, dotterplan.Holder{
			Task: task, Size: r.size, StartedAt: r.startedAt, Throttled: r.throttled,
		})
	}
	for _, room := range w.strays {
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

// stateOf returns the state of r's task as callers see it.
func (o *Owner) stateOf(r *run) dottertask.State {
	switch {
	case r.phase == phaseRunning && r.order == orderCheckpoint:
		return dottertask.StateEvicting
	case r.phase == phaseRunning:
		return dottertask.StateRunning
	}
	return dottertask.StateAssigned
}

// assign reserves an attempt, if the room is there whatever the Placer said.
func (o *Owner) assign(a dotterplan.Assignment) {
	w, ok := o.workers[a.Worker]
	if !ok || !o.usable(w) {
		return
	}
	if r, ahead := o.runs[a.Task]; ahead {
		o.assignAhead(r, w, a)
		return
	}
	e, ok := o.ledger.Entry(a.Task)
	if !ok || !e.Queued() || o.isBusy(a.Task) {
		return
	}
	size := a.Size.Max(e.Task.Size)
	if !size.Fits(w.free()) {
		return
	}
	o.reserve(e.Task, w, size, a.Reason, false)
}

// assignAhead starts a reserved attempt where it is, or reserves the next one
// elsewhere; the reserved one was never sent.
func (o *Owner) assignAhead(r *run, w *worker, a dotterplan.Assignment) {
	size := a.Size.Max(r.task.Size)
	if r.phase != phaseAhead || o.isBusy(a.Task) || !size.Fits(w.free()) {
		return
	}
	if r.worker == w.host.Name {
		r.size = size
		r.reason = a.Reason
		r.phase = phaseReady
		return
	}
	o.removeRun(r)
	next := o.reserve(r.task, w, size, a.Reason, false)
	next.former = r
}

// reserve logs the next attempt of task on w.
func (o *Owner) reserve(task dottertask.Task, w *worker, size dotterroom.Room, reason string, ahead bool) *run {
	r := &run{
		task: task, attempt: task.Attempt + 1, size: size, phase: phaseLogging,
		ahead: ahead, reason: reason,
	}
	r.task = r.task.WithAttempt(r.attempt, w.host.Name)
	o.addRun(w, r)
	o.propose(change{
		records: []dotterrecord.Record{{Reserved: &dotterrecord.Reserved{
			Task: task.ID, Attempt: r.attempt, Worker: w.host.Name, Incarnation: w.incarnation, Size: size,
		}}},
		committed: func() { o.reserved(r) },
		refused:   func(err error) { o.unreserve(r, err) },
	})
	return r
}

// unreserve takes back a reservation that surely didn't get into the log, so
// that it holds no room while the store is away.
func (o *Owner) unreserve(r *run, err error) {
	if !errors.Is(err, ErrRefused) || r.phase != phaseLogging {
		return
	}
	o.removeRun(r)
	if r.former == nil {
		return
	}
	if w, ok := o.workers[r.former.worker]; ok {
		o.addRun(w, r.former)
	}
}

func (o *Owner) reserved(r *run) {
	if r.phase != phaseLogging {
		return
	}
	r.former = nil
	r.phase = phaseReady
	if r.ahead {
		r.phase = phaseAhead
	}
}

// endQueued fails a waiting task that must not be tried any more.
func (o *Owner) endQueued(ending dotterplan.Ending, now dotterclock.Millis) {
	if r, ok := o.runs[ending.Task]; ok {
		if r.phase == phaseAhead && !o.isBusy(ending.Task) {
			o.logEnd(r, dotterrecord.Ended{
				Task: r.task.ID, Attempt: r.attempt, State: dottertask.StateFailed, Reason: ending.Reason, At: now,
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
