package dotterowner

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershardlog"
)

// maxPayloadBytes is the maximum size of a task's payload.
const maxPayloadBytes = 32 << 10

// answer is the result for a caller that waits for a commit.
type answer struct {
	tasks []dottertask.Task
	err   error
}

// Submit accepts tasks without IDs and returns them with their IDs once they are
// committed to the log. For a task whose idempotency key is already in use, it
// returns the existing task.
func (o *Owner) Submit(ctx context.Context, tasks []dottertask.Task) ([]dottertask.Task, error) {
	answers := make(chan answer, 1)
	if !o.post(func() { o.submit(tasks, answers) }) {
		return nil, ErrRefused
	}
	return o.await(ctx, answers)
}

func (o *Owner) await(ctx context.Context, answers chan answer) ([]dottertask.Task, error) {
	select {
	case a := <-answers:
		return a.tasks, a.err
	case <-o.closed:
		select {
		case a := <-answers:
			return a.tasks, a.err
		default:
			return nil, ErrUnknown
		}
	case <-ctx.Done():
		return nil, eris.Wrap(ErrUnknown, ctx.Err().Error())
	}
}

func (o *Owner) submit(tasks []dottertask.Task, answers chan answer) {
	if err := o.admit(tasks); err != nil {
		o.options.Metrics.Refusals.Add(float64(len(tasks)))
		answers <- answer{err: err}
		return
	}
	now := o.options.Clock.Now()
	accepted := make([]dottertask.Task, len(tasks))
	var records []dotterrecord.Record
	for i, t := range tasks {
		existing, known := o.taskWithKey(t, accepted[:i])
		if known {
			accepted[i] = existing
			continue
		}
		o.sequence++
		t.ID = o.options.Shard.Task(o.sequence)
		t.State = dottertask.StateQueued
		t.SubmittedAt = now
		accepted[i] = t
		records = append(records, dotterrecord.Record{Accepted: &dotterrecord.Entry{Task: t}})
	}
	if len(records) == 0 {
		answers <- answer{tasks: accepted}
		return
	}
	o.proposeForCaller(records, answer{tasks: accepted}, func(a answer) { answers <- a })
}

// proposeForCaller proposes records for which a caller waits. It sends success once
// they are committed. If the store doesn't accept them they are dropped and the
// caller gets an error.
func (o *Owner) proposeForCaller(records []dotterrecord.Record, success answer, send func(answer)) {
	o.pendingTasks += len(records)
	answered := false
	reply := func(a answer) {
		if answered {
			return
		}
		answered = true
		send(a)
	}
	o.propose(change{
		records:   records,
		committed: func() { o.pendingTasks -= len(records); reply(success) },
		refused: func(err error) {
			if errors.Is(err, ErrRefused) {
				o.pendingTasks -= len(records)
			}
			reply(answer{err: err})
		},
	})
}

// taskWithKey returns the task that has t's idempotency key, among the earlier
// tasks of the same submission or in the ledger.
func (o *Owner) taskWithKey(t dottertask.Task, earlier []dottertask.Task) (dottertask.Task, bool) {
	if t.Key == "" {
		return dottertask.Task{}, false
	}
	for _, e := range earlier {
		if e.Key == t.Key && e.Team == t.Team {
			return e, true
		}
	}
	id, ok := o.ledger.TaskByKey(t.Team, t.Key)
	if !ok {
		return dottertask.Task{}, false
	}
	e, _ := o.ledger.Entry(id)
	return e.Task, true
}

// admit returns ErrRefused for tasks that the shard can't accept now and ErrInvalid
// for tasks that it can never accept.
func (o *Owner) admit(tasks []dottertask.Task) error {
	if o.storeUnavailable {
		return eris.Wrap(ErrRefused, "the store is away")
	}
	if o.ledger.QueueLen()+o.pendingTasks+len(tasks) > o.limits.MaxQueued {
		return eris.Wrap(ErrRefused, "the queue is full")
	}
	if o.logBytes > o.limits.MaxLogBytes {
		return eris.Wrap(ErrRefused, "the log is long, it is being shortened")
	}
	bytes := 0
	for _, t := range tasks {
		bytes += dotterrecord.Entry{Task: t}.Bytes()
	}
	if bytes > dottershardlog.MaxBatchBytes {
		return eris.Wrap(ErrInvalid, "too many tasks or too much payload for one call")
	}
	for i, t := range tasks {
		if len(t.Payload) > maxPayloadBytes {
			return eris.Wrapf(ErrInvalid, "submission %d: Payload: more than %d bytes", i, maxPayloadBytes)
		}
	}
	if o.ledger.Bytes()+bytes > dottershardlog.MaxLedgerBytes {
		return eris.Wrap(ErrRefused, "the shard is full")
	}
	for _, t := range tasks {
		if o.keyPending(t) {
			return eris.Wrap(ErrRefused, "a submission with the same key is under way")
		}
	}
	return o.admitSizes(tasks)
}

// keyPending reports whether an uncommitted task has t's idempotency key.
func (o *Owner) keyPending(t dottertask.Task) bool {
	if t.Key == "" {
		return false
	}
	changes := o.pending
	if o.writing != nil {
		changes = append(append([]change(nil), o.writing.changes...), o.pending...)
	}
	for _, c := range changes {
		for _, r := range c.records {
			if r.Accepted != nil && r.Accepted.Task.Key == t.Key && r.Accepted.Task.Team == t.Team {
				return true
			}
		}
	}
	return false
}

// admitSizes refuses tasks that fit on none of the shard's listed workers.
func (o *Owner) admitSizes(tasks []dottertask.Task) error {
	workers := make([]dotterplan.Worker, 0, len(o.workers))
	for _, w := range o.sortedWorkers() {
		if w.listed {
			workers = append(workers, dotterplan.Worker{Host: w.host, Usable: true})
		}
	}
	if len(workers) == 0 {
		return eris.Wrap(ErrRefused, "the shard has no workers")
	}
	for i, t := range tasks {
		if reason := o.options.Placer.Admit(t, workers); reason != "" {
			return eris.Wrapf(ErrInvalid, "submission %d: %s", i, reason)
		}
	}
	return nil
}
