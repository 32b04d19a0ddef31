package dotterplacer_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterplacer"
)

const (
	planInterval   = 250 * dotterclock.Millisecond
	checkpointTime = 1000 * dotterclock.Millisecond
	urgentDeadline = 4600 * dotterclock.Millisecond
)

var workerCapacity = dotterroom.Room{MilliCores: 64_000, MemoryMB: 250_000}

// undisturbed returns a usage report without slowdown.
func undisturbed(h dotterplan.Holder) dotterattempt.Usage {
	return dotterattempt.Usage{Used: h.Size, Progress: 0.1, Slowdown: 1}
}

// fill runs the pool until batch tasks of the given size leave no room for
// another.
func fill(t assert.TestingT, p *pool, placer *dotterplacer.Placer, size dotterroom.Room) {
	for range 2 * len(p.hosts) * int(workerCapacity.MilliCores/size.MilliCores) {
		p.submit(dottertask.Task{Team: "b", Template: "batch", Size: size, RunMillis: 3_600_000, Repeatable: true, Rank: 50})
	}
	for range 60 {
		p.apply(t.(interface {
			assert.TestingT
			FailNow()
		}), placer.Plan(p.state()))
		p.now += dotterclock.Second
		p.report(placer, undisturbed)
	}
	for _, w := range p.state().Workers {
		assert.False(t, size.Fits(w.Free()), "the worker isn't full")
	}
}

// checkUrgentStarts fills all workers with batch tasks, submits urgent tasks,
// and checks that each is assigned before urgentDeadline if checkpoints take
// checkpointTime.
func checkUrgentStarts(t *rapid.T) {
	clock := dotterclock.NewManual(1_000_000)
	p := newPool(6, workerCapacity)
	placer := dotterplacer.New(dotterplacer.Options{})
	fill(t, p, placer, dotterroom.Room{MilliCores: 1000 * rapid.Int64Range(2, 16).Draw(t, "batch"), MemoryMB: 4000})
	clock.Advance(p.now - clock.Now())
	begin := clock.Now()
	waiting := map[dottertask.ID]bool{}
	for range rapid.IntRange(1, 12).Draw(t, "urgent") {
		size := dotterroom.Room{MilliCores: 1000 * rapid.Int64Range(1, 20).Draw(t, "size"), MemoryMB: 1000}
		waiting[p.submit(dottertask.Task{Team: "b", Template: "urgent", Size: size, RunMillis: 60_000, Urgent: true, Rank: 1})] = true
	}
	evicted := map[dottertask.ID]dotterclock.Millis{}
	for clock.Now()-begin < urgentDeadline-planInterval {
		plan := placer.Plan(p.state())
		p.apply(t, plan)
		for _, e := range plan.Evictions {
			evicted[e.Task] = clock.Now()
		}
		for _, a := range plan.Assignments {
			delete(waiting, a.Task)
		}
		clock.Advance(planInterval)
		p.now = clock.Now()
		p.checkpoint(placer, evicted)
		p.report(placer, undisturbed)
	}
	assert.Empty(t, waiting)
}

// checkpoint ends the attempts whose eviction began at least checkpointTime
// ago.
func (p *pool) checkpoint(placer *dotterplacer.Placer, evicted map[dottertask.ID]dotterclock.Millis) {
	for _, h := range p.hosts {
		for i := len(p.holders[h.Name]) - 1; i >= 0; i-- {
			task := p.holders[h.Name][i].Task
			if task.State == dottertask.StateEvicting && p.now-evicted[task.ID] >= checkpointTime {
				p.end(placer, h.Name, i, dotterattempt.PhaseCheckpointed)
			}
		}
	}
}

func TestUrgentTasksStartInTimeWhenBatchHoldsAllRoom(t *testing.T) {
	rapid.Check(t, checkUrgentStarts)
}

func TestUrgentTasksEvictOnlyWithinTheBudget(t *testing.T) {
	p := newPool(2, workerCapacity)
	placer := dotterplacer.New(dotterplacer.Options{UrgentEvictionBurst: 3, UrgentEvictionsPerMinute: 1})
	fill(t, p, placer, dotterroom.Room{MilliCores: 4000, MemoryMB: 1})
	for range 10 {
		p.submit(dottertask.Task{Team: "b", Template: "urgent", Size: dotterroom.Room{MilliCores: 4000}, Urgent: true, Rank: 1})
	}
	evictions := 0
	for range 8 {
		plan := placer.Plan(p.state())
		evictions += len(plan.Evictions)
		p.apply(t, plan)
		p.now += planInterval
		p.finishEvictions(placer)
	}
	assert.Equal(t, 3, evictions)
}

func TestLargeTaskIsNotStarvedBySmallOnes(t *testing.T) {
	p := newPool(2, workerCapacity)
	placer := dotterplacer.New(dotterplacer.Options{})
	small := dottertask.Task{Team: "b", Template: "small", Size: dotterroom.Room{MilliCores: 4000}, RunMillis: 20_000, Repeatable: true}
	large := p.submit(dottertask.Task{Team: "b", Template: "large", Size: dotterroom.Room{MilliCores: 60_000}, RunMillis: 20_000, Repeatable: true})
	p.queue = nil
	waiting := dottertask.Task{ID: large, Team: "b", Template: "large", Size: dotterroom.Room{MilliCores: 60_000}, RunMillis: 20_000, Repeatable: true, SubmittedAt: p.now}
	for step := 0; step < 600 && p.holder(large) == nil; step++ {
		for range 4 {
			p.submit(small)
		}
		if step == 30 {
			waiting.SubmittedAt = p.now
			p.queue = append(p.queue, waiting)
		}
		p.apply(t, placer.Plan(p.state()))
		p.now += dotterclock.Second
		p.report(placer, undisturbed)
		for _, h := range p.hosts {
			for i := len(p.holders[h.Name]) - 1; i >= 0; i-- {
				if p.now-p.holders[h.Name][i].StartedAt >= 20*dotterclock.Second {
					p.end(placer, h.Name, i, dotterattempt.PhaseDone)
				}
			}
		}
	}
	assert.NotNil(t, p.holder(large), "the large task was never started")
}
