package dotterowner

import (
	"context"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

// Get returns the task and, if it was moved, the shard that it was moved to.
func (o *Owner) Get(ctx context.Context, id dottertask.ID) (dottertask.Task, string, error) {
	var task dottertask.Task
	target, found := "", false
	err := o.runOnLoop(ctx, func() {
		e, ok := o.ledger.Entry(id)
		if !ok {
			return
		}
		found = true
		task = e.Task
		if a, live := o.attempts[id]; live && e.Bound() && a.number == e.Task.Attempt {
			task.State = o.stateOf(a)
		}
		if task.State == dottertask.StateMoved {
			target = e.Target
		}
	})
	if err == nil && !found {
		err = ErrNotFound
	}
	return task, target, err
}

// Totals returns the totals that the shard has charged so far.
func (o *Owner) Totals(ctx context.Context) ([]dotterrecord.Total, error) {
	var totals []dotterrecord.Total
	err := o.runOnLoop(ctx, func() { totals = o.ledger.Totals() })
	return totals, err
}

// Status returns a summary of the shard.
func (o *Owner) Status(ctx context.Context) (dotterelusher.ShardStatus, error) {
	var status dotterelusher.ShardStatus
	err := o.runOnLoop(ctx, func() {
		running, preassigned := o.countAttempts()
		status = dotterelusher.ShardStatus{
			Shard: o.options.Shard.String(), Epoch: o.log.Epoch(), Workers: len(o.usableWorkers()),
			Queued: o.ledger.QueueLen() + preassigned, Running: running, Ended: o.ledger.EndedLen(),
		}
	})
	return status, err
}

// Use returns the capacity that the shard's attempts hold, by team, and the total
// capacity and load of its workers.
func (o *Owner) Use(ctx context.Context) (PoolUse, error) {
	use := PoolUse{Teams: make(map[string]dotterroom.Room), Shards: make(map[string]ShardLoad)}
	err := o.runOnLoop(ctx, func() {
		use.Shards[o.options.Shard.String()] = o.load()
		for _, w := range o.workers {
			if w.listed {
				use.Pool = use.Pool.Add(w.host.Capacity)
			}
		}
		for _, a := range o.attempts {
			if a.holdsCapacity() {
				use.Teams[a.task.Team] = use.Teams[a.task.Team].Add(a.size)
			}
		}
	})
	return use, err
}

func (o *Owner) load() ShardLoad {
	_, preassigned := o.countAttempts()
	load := ShardLoad{Queued: o.ledger.QueueLen() + preassigned + o.pendingTasks}
	for _, w := range o.usableWorkers() {
		load.Free = load.Free.Add(w.free())
	}
	return load
}
