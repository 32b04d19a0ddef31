package dotterowner

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

// Adopt logs tasks that another shard moves to this one. Tasks that were already
// adopted by an earlier call are left unchanged. ErrRefused means that none was logged.
func (o *Owner) Adopt(ctx context.Context, entries []dotterrecord.Entry) error {
	answers := make(chan answer, 1)
	if !o.post(func() { o.adopt(entries, answers) }) {
		return ErrUnknown
	}
	_, err := o.await(ctx, answers)
	return err
}

func (o *Owner) adopt(entries []dotterrecord.Entry, answers chan answer) {
	var records []dotterrecord.Record
	for _, e := range entries {
		if o.isBusy(e.Task.ID) {
			answers <- answer{err: eris.Wrap(ErrUnknown, "an earlier call for the task is under way")}
			return
		}
		if o.hasAdopted(e) {
			continue
		}
		e = e.WithTarget("").WithHop()
		e.Task = e.Task.WithState(dottertask.StateQueued, "moved here")
		records = append(records, dotterrecord.Record{Accepted: &e})
	}
	someAdopted := len(records) < len(entries)
	if len(records) == 0 {
		answers <- answer{}
		return
	}
	if err := o.admitAdopted(entries, !someAdopted); err != nil {
		answers <- answer{err: err}
		return
	}
	o.proposeForCaller(records, answer{}, func(a answer) {
		if someAdopted && errors.Is(a.err, ErrRefused) {
			a.err = eris.Wrap(ErrUnknown, "some of the tasks are logged")
		}
		answers <- a
	})
	o.cancelAdopted(records)
}

// cancelAdopted cancels the adopted tasks whose cancellation was logged by the
// other shard while they were being moved.
func (o *Owner) cancelAdopted(records []dotterrecord.Record) {
	var ids []dottertask.ID
	for _, r := range records {
		if r.Accepted.Cancelling {
			ids = append(ids, r.Accepted.Task.ID)
		}
	}
	if len(ids) > 0 {
		o.propose(o.cancelChange(ids))
	}
}

// hasAdopted reports whether the shard has already logged this move of e.
func (o *Owner) hasAdopted(e dotterrecord.Entry) bool {
	own, known := o.ledger.Entry(e.Task.ID)
	if !known {
		return false
	}
	return own.Task.State != dottertask.StateMoved || own.Hops > e.Hops
}

// admitAdopted checks whether the entries can be accepted. It refuses only if none
// of them was logged by an earlier call, since ErrRefused must mean that none is.
func (o *Owner) admitAdopted(entries []dotterrecord.Entry, allNew bool) error {
	if !allNew {
		return nil
	}
	if o.domainOut() || len(o.usableWorkers()) == 0 {
		return eris.Wrap(ErrRefused, "the shard can't run tasks")
	}
	tasks := make([]dottertask.Task, len(entries))
	for i, e := range entries {
		tasks[i] = e.Task
		tasks[i].Key = ""
	}
	if err := o.admit(tasks); err != nil {
		return eris.Wrapf(ErrRefused, "%v", err)
	}
	return nil
}
