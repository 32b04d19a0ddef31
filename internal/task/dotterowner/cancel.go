package dotterowner

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

// maxCancelledTasks is the maximum number of tasks in one cancellation. It keeps
// the record far below the store's maximum value size.
const maxCancelledTasks = 10_000

// Cancelled is the result of Cancel.
type Cancelled struct {
	Count int                        // tasks that had not ended yet
	Moved map[string][]dottertask.ID // tasks that were moved, by the shard that has them now
	Other []dottertask.ID            // tasks that the shard has no record of
}

// Cancel cancels the tasks with one log record. Queued tasks end at once, running
// ones when their worker has stopped them.
func (o *Owner) Cancel(ctx context.Context, ids []dottertask.ID) (Cancelled, error) {
	answers := make(chan answer, 1)
	result := Cancelled{Moved: make(map[string][]dottertask.ID)}
	if !o.post(func() { o.cancel(ids, &result, answers) }) {
		return Cancelled{}, ErrRefused
	}
	_, err := o.await(ctx, answers)
	if err != nil {
		return Cancelled{}, err
	}
	return result, nil
}

func (o *Owner) cancel(ids []dottertask.ID, result *Cancelled, answers chan answer) {
	if o.storeUnavailable {
		answers <- answer{err: eris.Wrap(ErrRefused, "the store is away")}
		return
	}
	if len(ids) > maxCancelledTasks {
		answers <- answer{err: eris.Wrapf(ErrInvalid, "more than %d tasks", maxCancelledTasks)}
		return
	}
	var cancelled []dottertask.ID
	for _, id := range ids {
		e, ok := o.ledger.Entry(id)
		switch {
		case !ok:
			result.Other = append(result.Other, id)
		case e.Task.State.Final():
		case e.Task.State == dottertask.StateMoved:
			result.Moved[e.Target] = append(result.Moved[e.Target], id)
		default:
			cancelled = append(cancelled, id)
		}
	}
	result.Count = len(cancelled)
	if len(cancelled) == 0 {
		answers <- answer{}
		return
	}
	o.proposeCancellation(cancelled, answers)
}

// proposeCancellation proposes a cancellation for which a caller waits.
func (o *Owner) proposeCancellation(ids []dottertask.ID, answers chan answer) {
	c := o.cancelChange(ids)
	stopAttempts := c.committed
	answered := false
	reply := func(a answer) {
		if !answered {
			answered = true
			answers <- a
		}
	}
	c.committed = func() { stopAttempts(); reply(answer{}) }
	c.refused = func(err error) { reply(answer{err: err}) }
	o.propose(c)
}

func (o *Owner) cancelChange(ids []dottertask.ID) change {
	record := dotterrecord.Cancelled{Tasks: ids, At: o.options.Clock.Now()}
	return change{
		records:   []dotterrecord.Record{{Cancelled: &record}},
		committed: func() { o.stopCancelled(ids) },
	}
}

// stopCancelled ends the attempts of tasks whose cancellation is committed.
func (o *Owner) stopCancelled(ids []dottertask.ID) {
	o.forwardCancelOfMoved(ids)
	for _, id := range ids {
		a, ok := o.attempts[id]
		if !ok {
			continue
		}
		if (a.phase == phasePreassigned || a.phase == phaseReady) && !o.isBusy(id) {
			o.endUnstarted(a, "cancelled")
			continue
		}
		a.pendingOrder = orderStop
		a.orderSentAt = 0
	}
}
