package dotterowner

import (
	"errors"
	"sort"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

const (
	// balanceInterval is the time between two looks for shards that stand idle.
	balanceInterval = 2 * dotterclock.Second
	// balanceAfter is how long a task waits before it may move to an idle shard.
	balanceAfter = 2 * dotterclock.Second
	// balanceAtOnce is the most tasks that move to one shard at a time, so that
	// work comes back gradually to a failure domain that returns.
	balanceAtOnce = 32
	// balanceHops is how often a task may have moved and still move to an idle shard.
	balanceHops = 4
	// balanceSpareParts is the inverse of the part of an idle shard's free room
	// that one other shard may fill.
	balanceSpareParts = 2
)

// balance moves tasks that have waited to shards that stand idle.
func (o *Owner) balance(now dotterclock.Millis) {
	if o.away || now < o.nextBalance {
		return
	}
	o.nextBalance = now + balanceInterval
	waiting := o.longWaiting(now)
	if len(waiting) == 0 {
		return
	}
	spare := o.options.Handoff.IdleCapacity(o.options.Shard)
	for _, target := range sortedTargets(spare) {
		if len(o.offerTo(target).tasks) > 0 {
			continue
		}
		var chosen []dottertask.Task
		chosen, waiting = fill(waiting, spare[target])
		o.offerReleased(chosen, target)
	}
}

func sortedTargets(spare map[string]dotterroom.Room) []string {
	targets := make([]string, 0, len(spare))
	for target := range spare {
		targets = append(targets, target)
	}
	sort.Strings(targets)
	return targets
}

// longWaiting returns waiting tasks, those reserved ahead included, in order of rank.
func (o *Owner) longWaiting(now dotterclock.Millis) []dottertask.Task {
	var waiting []dottertask.Task
	take := func(t dottertask.Task) bool {
		e, _ := o.ledger.Entry(t.ID)
		if !o.isBusy(t.ID) && now-t.SubmittedAt >= balanceAfter && e.Hops < balanceHops {
			waiting = append(waiting, t)
		}
		return len(waiting) < o.limits.Ahead
	}
	for _, w := range o.sortedWorkers() {
		for _, r := range w.ordered() {
			if r.phase == phaseAhead {
				take(r.task)
			}
		}
	}
	o.ledger.Queue(func(e dotterrecord.Entry) bool { return !e.Queued() || take(e.Task) })
	sort.SliceStable(waiting, func(i, j int) bool { return waiting[i].Rank < waiting[j].Rank })
	return waiting
}

// fill splits off the tasks that go into a part of the spare room.
func fill(waiting []dottertask.Task, spare dotterroom.Room) (chosen, rest []dottertask.Task) {
	left := dotterroom.Room{
		MilliCores:   spare.MilliCores / balanceSpareParts,
		MemoryMB:     spare.MemoryMB / balanceSpareParts,
		Accelerators: spare.Accelerators / balanceSpareParts,
	}
	for _, t := range waiting {
		if len(chosen) < balanceAtOnce && t.Size.Fits(left) {
			left = left.Sub(t.Size)
			chosen = append(chosen, t)
			continue
		}
		rest = append(rest, t)
	}
	return chosen, rest
}

// offerReleased offers waiting tasks to target and releases the attempts reserved
// ahead for them, in one change.
func (o *Owner) offerReleased(tasks []dottertask.Task, target string) {
	if len(tasks) == 0 {
		return
	}
	var records []dotterrecord.Record
	ids := make([]dottertask.ID, 0, len(tasks))
	var released []*run
	for _, t := range tasks {
		ids = append(ids, t.ID)
		r, reserved := o.runs[t.ID]
		if !reserved {
			continue
		}
		r.phase = phaseEnded
		released = append(released, r)
		records = append(records, dotterrecord.Record{Ended: &dotterrecord.Ended{
			Task: t.ID, Attempt: r.attempt, State: dottertask.StateQueued, Reason: "another shard stands idle", At: o.options.Clock.Now(),
		}})
	}
	c := o.offering(target, ids)
	c.refused = func(err error) { unrelease(released, err) }
	offered := c.committed
	c.records = append(records, c.records...)
	c.committed = func() {
		for _, r := range released {
			o.removeRun(r)
		}
		offered()
	}
	o.propose(c)
}

// unrelease puts attempts back into the reserve when their release surely
// didn't get into the log.
func unrelease(released []*run, err error) {
	if !errors.Is(err, ErrRefused) {
		return
	}
	for _, r := range released {
		r.phase = phaseAhead
	}
}
