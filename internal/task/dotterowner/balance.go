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
	// balanceInterval is the time between two searches for idle shards.
	balanceInterval = 2 * dotterclock.Second
	// minBalanceWait is the time since submission after which a task may move to an
	// idle shard.
	minBalanceWait = 2 * dotterclock.Second
	// maxBalancedTasks is the maximum number of tasks that move to one shard at a
	// time, so that a failure domain that has recovered is loaded gradually.
	maxBalancedTasks = 32
	// maxBalanceHops is the number of moves after which a task no longer moves to an
	// idle shard.
	maxBalanceHops = 4
	// balanceCapacityDivisor is the inverse of the fraction of an idle shard's free
	// capacity that one other shard may fill.
	balanceCapacityDivisor = 2
)

// balance moves tasks that have waited for minBalanceWait to idle shards.
func (o *Owner) balance(now dotterclock.Millis) {
	if o.storeUnavailable || now < o.nextBalance {
		return
	}
	o.nextBalance = now + balanceInterval
	waiting := o.longWaiting(now)
	if len(waiting) == 0 {
		return
	}
	idle := o.options.Handoff.IdleCapacity(o.options.Shard)
	for _, target := range sortedTargets(idle) {
		if len(o.offerTo(target).tasks) > 0 {
			continue
		}
		var chosen []dottertask.Task
		chosen, waiting = selectFitting(waiting, idle[target])
		o.offerAndRelease(chosen, target)
	}
}

func sortedTargets(idle map[string]dotterroom.Room) []string {
	targets := make([]string, 0, len(idle))
	for target := range idle {
		targets = append(targets, target)
	}
	sort.Strings(targets)
	return targets
}

// longWaiting returns queued and preassigned tasks that may be balanced, by rank.
func (o *Owner) longWaiting(now dotterclock.Millis) []dottertask.Task {
	var waiting []dottertask.Task
	add := func(t dottertask.Task) bool {
		e, _ := o.ledger.Entry(t.ID)
		if !o.isBusy(t.ID) && now-t.SubmittedAt >= minBalanceWait && e.Hops < maxBalanceHops {
			waiting = append(waiting, t)
		}
		return len(waiting) < o.limits.MaxPreassigned
	}
	for _, w := range o.sortedWorkers() {
		for _, a := range w.sortedAttempts() {
			if a.phase == phasePreassigned {
				add(a.task)
			}
		}
	}
	o.ledger.Queue(func(e dotterrecord.Entry) bool { return !e.Queued() || add(e.Task) })
	sort.SliceStable(waiting, func(i, j int) bool { return waiting[i].Rank < waiting[j].Rank })
	return waiting
}

// selectFitting selects tasks that fit into the fraction of an idle shard's free
// capacity that this shard may fill, and returns the others as rest.
func selectFitting(waiting []dottertask.Task, idle dotterroom.Room) (chosen, rest []dottertask.Task) {
	left := dotterroom.Room{
		MilliCores:   idle.MilliCores / balanceCapacityDivisor,
		MemoryMB:     idle.MemoryMB / balanceCapacityDivisor,
		Accelerators: idle.Accelerators / balanceCapacityDivisor,
	}
	for _, t := range waiting {
		if len(chosen) < maxBalancedTasks && t.Size.Fits(left) {
			left = left.Sub(t.Size)
			chosen = append(chosen, t)
			continue
		}
		rest = append(rest, t)
	}
	return chosen, rest
}

// offerAndRelease offers tasks to target and ends their preassigned attempts in the
// same change.
func (o *Owner) offerAndRelease(tasks []dottertask.Task, target string) {
	if len(tasks) == 0 {
		return
	}
	var records []dotterrecord.Record
	ids := make([]dottertask.ID, 0, len(tasks))
	var released []*attempt
	for _, t := range tasks {
		ids = append(ids, t.ID)
		a, reserved := o.attempts[t.ID]
		if !reserved {
			continue
		}
		a.phase = phaseEnded
		released = append(released, a)
		records = append(records, dotterrecord.Record{Ended: &dotterrecord.Ended{
			Task: t.ID, Attempt: a.number, State: dottertask.StateQueued, Reason: "another shard stands idle", At: o.options.Clock.Now(),
		}})
	}
	c := o.offerChange(target, ids)
	c.refused = func(err error) { restoreReleased(released, err) }
	offered := c.committed
	c.records = append(records, c.records...)
	c.committed = func() {
		for _, a := range released {
			o.removeAttempt(a)
		}
		offered()
	}
	o.propose(c)
}

// restoreReleased makes attempts preassigned again if their ends were definitely
// not committed.
func restoreReleased(released []*attempt, err error) {
	if !errors.Is(err, ErrRefused) {
		return
	}
	for _, a := range released {
		a.phase = phasePreassigned
	}
}
