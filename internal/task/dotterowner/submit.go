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

// maxPayload is the most bytes that a task's payload has.
const maxPayload = 32 << 10

// answer is what a caller that waits for a commit gets.
type answer struct {
	tasks []dottertask.Task
	err   error
}

// Submit accepts the tasks, which have no names yet, and returns them named once
// they are in the log. A task whose key the shard knows is answered by the one
// that holds the key.
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
	named := make([]dottertask.Task, len(tasks))
	var records []dotterrecord.Record
	for i, t := range tasks {
		held, known := o.keyed(t, named[:i])
		if known {
			named[i] = held
			continue
		}
		o.sequence++
		t.ID = o.options.Shard.Task(o.sequence)
		t.State = dottertask.StateQueued
		t.SubmittedAt = now
		named[i] = t
		records = append(records, dotterrecord.Record{Accepted: &dotterrecord.Entry{Task: t}})
	}
	if len(records) == 0 {
		answers <- answer{tasks: named}
		return
	}
	o.proposeWaiting(records, answer{tasks: named}, func(a answer) { answers <- a })
}

// proposeWaiting proposes records for which a caller waits: it gets success once
// they are in the log, and they are dropped if the store can't take them.
func (o *Owner) proposeWaiting(records []dotterrecord.Record, success answer, send func(answer)) {
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

// keyed returns the task that holds t's idempotency key.
func (o *Owner) keyed(t dottertask.Task, earlier []dottertask.Task) (dottertask.Task, bool) {
	if t.Key == "" {
		return dottertask.Task{}, false
	}
	for _, e := range earlier {
		if e.Key == t.Key && e.Team == t.Team {
			return e, true
		}
	}
	id, ok := o.ledger.Keyed(t.Team, t.Key)
	if !ok {
		return dottertask.Task{}, false
	}
	e, _ := o.ledger.Entry(id)
	return e.Task, true
}

// admit refuses what the shard can't take now or ever.
func (o *Owner) admit(tasks []dottertask.Task) error {
	if o.away {
		return eris.Wrap(ErrRefused, "the store is away")
	}
	if o.ledger.QueueLen()+o.pendingTasks+len(tasks) > o.limits.MaxQueued {
		return eris.Wrap(ErrRefused, "the queue is full")
	}
	if o.logBytes > o.limits.LogBytes {
		return eris.Wrap(ErrRefused, "the log is long, it is being shortened")
	}
	bytes := 0
	for _, t := range tasks {
		bytes += dotterrecord.Entry{Task: t}.Bytes()
	}
	if bytes > dottershardlog.BatchBytes {
		return eris.Wrap(ErrInvalid, "too many tasks or too much payload for one call")
	}
	for i, t := range tasks {
		if len(t.Payload) > maxPayload {
			return eris.Wrapf(ErrInvalid, "submission %d: Payload: more than %d bytes", i, maxPayload)
		}
	}
	if o.ledger.Bytes()+bytes > dottershardlog.LiveBytes {
		return eris.Wrap(ErrRefused, "the shard is full")
	}
	for _, t := range tasks {
		if o.keyUnderWay(t) {
			return eris.Wrap(ErrRefused, "a submission with the same key is under way")
		}
	}
	return o.admitSizes(tasks)
}

// keyUnderWay reports whether a task with t's key is on its way into the log.
func (o *Owner) keyUnderWay(t dottertask.Task) bool {
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

// admitSizes refuses tasks that fit no worker that the shard knows.
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
