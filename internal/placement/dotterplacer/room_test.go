package dotterplacer_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterplacer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// pool is a simple reference model of a shard, against which plans are checked.
type pool struct {
	now     dotterclock.Millis
	config  dotterconfig.Document
	hosts   []dotterhost.Host
	usable  []bool
	queue   []dottertask.Task
	holders map[string][]dotterplan.Holder
	nextID  int
}

func newPool(workers int, capacity dotterroom.Room) *pool {
	p := &pool{now: 1_000_000, holders: map[string][]dotterplan.Holder{}}
	p.config.Partners = []dotterconfig.Partner{{Name: "A", SharePercent: 100}}
	p.config.Teams = []dotterconfig.Team{
		{Name: "a", Partner: "A", Weight: 1, Quota: dotterroom.Room{MilliCores: 20_000}},
		{Name: "b", Partner: "A", Weight: 1},
	}
	for i := range workers {
		p.hosts = append(p.hosts, dotterhost.Host{Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprint(i / 2), Capacity: capacity})
		p.usable = append(p.usable, true)
	}
	return p
}

func (p *pool) submit(t dottertask.Task) dottertask.ID {
	p.nextID++
	t.ID = dottertask.ID(fmt.Sprintf("s-%d", p.nextID))
	t.SubmittedAt, t.State = p.now, dottertask.StateQueued
	p.queue = append(p.queue, t)
	return t.ID
}

func (p *pool) state() dotterplan.State {
	s := dotterplan.State{Now: p.now, Configuration: p.config, Queue: p.queue}
	for i, h := range p.hosts {
		s.Workers = append(s.Workers, dotterplan.Worker{Host: h, Holders: p.holders[h.Name], Usable: p.usable[i]})
		s.Pool = s.Pool.Add(h.Capacity)
	}
	return s
}

// apply checks plan against the reference model and carries it out.
func (p *pool) apply(t require.TestingT, plan dotterplan.Plan) {
	for _, e := range plan.Evictions {
		h := p.holder(e.Task)
		require.NotNil(t, h, "evicted task %s holds no room", e.Task)
		assert.True(t, h.Task.Repeatable && !h.Task.Critical && h.Task.State == dottertask.StateRunning, "task must not be evicted: %+v", h.Task)
		h.Task.State = dottertask.StateEvicting
	}
	for _, e := range plan.Throttles {
		require.NotNil(t, p.holder(e.Task))
		assert.True(t, e.Percent >= 1 && e.Percent <= 100 && !p.holder(e.Task).Task.Critical)
		p.holder(e.Task).ThrottlePercent = e.Percent % 100
	}
	for _, e := range plan.Failures {
		p.dequeue(t, e.Task)
	}
	for _, a := range plan.Assignments {
		task := p.dequeue(t, a.Task)
		assert.True(t, task.Size.Fits(a.Size), "assigned size is smaller than the declared size")
		task = task.WithAttempt(task.Attempt+1, a.Worker).WithState(dottertask.StateRunning, "")
		p.holders[a.Worker] = append(p.holders[a.Worker], dotterplan.Holder{Task: task, Size: a.Size, StartedAt: p.now})
		for i, w := range p.state().Workers {
			assert.True(t, dotterroom.Room{}.Fits(w.Free()), "%s is over its capacity: %s free", w.Host.Name, w.Free())
			assert.True(t, w.Host.Name != a.Worker || p.usable[i], "assignment to unusable worker %s", a.Worker)
		}
	}
	held := dotterroom.Room{}
	for _, holders := range p.holders {
		for _, h := range holders {
			if h.Task.Team == "a" {
				held = held.Add(h.Size)
			}
		}
	}
	assert.LessOrEqual(t, held.MilliCores, p.config.Teams[0].Quota.MilliCores, "team a is over its quota")
}

func (p *pool) holder(id dottertask.ID) *dotterplan.Holder {
	for _, holders := range p.holders {
		for i := range holders {
			if holders[i].Task.ID == id {
				return &holders[i]
			}
		}
	}
	return nil
}

// dequeue removes a task from the queue and fails the test if it isn't queued.
func (p *pool) dequeue(t require.TestingT, id dottertask.ID) dottertask.Task {
	for i, q := range p.queue {
		if q.ID == id {
			p.queue = append(append([]dottertask.Task{}, p.queue[:i]...), p.queue[i+1:]...)
			return q
		}
	}
	require.Fail(t, "not queued", "%s", id)
	return dottertask.Task{}
}

// end ends the holder's attempt, and requeues its task unless phase is done.
func (p *pool) end(placer *dotterplacer.Placer, worker string, at int, phase dotterattempt.Phase) {
	h := p.holders[worker][at]
	p.holders[worker] = append(append([]dotterplan.Holder{}, p.holders[worker][:at]...), p.holders[worker][at+1:]...)
	status := dotterattempt.Status{Phase: phase, RanMillis: p.now - h.StartedAt}
	status.Task, status.Attempt = h.Task.ID, h.Task.Attempt
	placer.RecordEnd(p.now, worker, h.Task, status)
	if phase != dotterattempt.PhaseDone {
		p.queue = append(p.queue, h.Task.WithState(dottertask.StateQueued, ""))
	}
}

// finishEvictions ends all attempts that are being evicted with a checkpoint.
func (p *pool) finishEvictions(placer *dotterplacer.Placer) {
	for _, h := range p.hosts {
		for i := len(p.holders[h.Name]) - 1; i >= 0; i-- {
			if p.holders[h.Name][i].Task.State == dottertask.StateEvicting {
				p.end(placer, h.Name, i, dotterattempt.PhaseCheckpointed)
			}
		}
	}
}

// report sends a usage report for every holder to the placer.
func (p *pool) report(placer *dotterplacer.Placer, usage func(dotterplan.Holder) dotterattempt.Usage) {
	for _, h := range p.hosts {
		var reports []dotterattempt.Usage
		for _, o := range p.holders[h.Name] {
			u := usage(o)
			u.Task, u.Attempt, u.At = o.Task.ID, o.Task.Attempt, p.now-dotterclock.Second
			reports = append(reports, u)
		}
		placer.RecordUsage(p.now, h.Name, reports)
	}
}

func drawTask(t *rapid.T) dottertask.Task {
	critical := rapid.IntRange(0, 5).Draw(t, "critical") == 0
	return dottertask.Task{
		Team:       rapid.SampledFrom([]string{"a", "b", "unknown"}).Draw(t, "team"),
		Template:   rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "template"),
		Size:       dotterroom.Room{MilliCores: rapid.Int64Range(0, 9000).Draw(t, "cores"), MemoryMB: rapid.Int64Range(0, 90).Draw(t, "memory"), Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators")},
		RunMillis:  20_000,
		Repeatable: rapid.Bool().Draw(t, "repeatable"),
		Urgent:     rapid.IntRange(0, 5).Draw(t, "urgent") == 0,
		Critical:   critical,
		Rank:       rapid.IntRange(0, 3).Draw(t, "rank"),
	}
}

// checkRandomPlans runs rounds with random tasks, workers and outcomes, and
// checks each plan against the reference model.
func checkRandomPlans(t *rapid.T) {
	p := newPool(4, dotterroom.Room{MilliCores: 10_000, MemoryMB: 100, Accelerators: 2})
	placer := dotterplacer.New(dotterplacer.Options{InterferenceDelay: 5000, StarvationDelay: 3000, TargetSlowdown: 1.1})
	for range 25 {
		for range rapid.IntRange(0, 6).Draw(t, "arrivals") {
			p.submit(drawTask(t))
		}
		p.usable[rapid.IntRange(0, 3).Draw(t, "switched")] = rapid.IntRange(0, 3).Draw(t, "usable") > 0
		p.apply(t, placer.Plan(p.state()))
		p.now += rapid.SampledFrom([]dotterclock.Millis{200, 3000, 15_000}).Draw(t, "pause")
		p.report(placer, func(h dotterplan.Holder) dotterattempt.Usage {
			return dotterattempt.Usage{Used: dotterroom.Room{MilliCores: h.Size.MilliCores * 3 / 2}, Progress: 0.5, Slowdown: rapid.Float64Range(1, 3).Draw(t, "slowdown")}
		})
		p.finishEvictions(placer)
		for _, h := range p.hosts {
			if len(p.holders[h.Name]) > 0 && rapid.Bool().Draw(t, "ends") {
				phase := rapid.SampledFrom([]dotterattempt.Phase{dotterattempt.PhaseDone, dotterattempt.PhaseFailed}).Draw(t, "phase")
				p.end(placer, h.Name, rapid.IntRange(0, len(p.holders[h.Name])-1).Draw(t, "which"), phase)
			}
		}
	}
	p.drain(t, placer)
}

// drain runs rounds in which every started task completes, and checks that the
// queue becomes empty.
func (p *pool) drain(t require.TestingT, placer *dotterplacer.Placer) {
	for i := range p.usable {
		p.usable[i] = true
	}
	for round := 0; round < 100 && len(p.queue) > 0; round++ {
		p.apply(t, placer.Plan(p.state()))
		p.now += 30 * dotterclock.Second
		p.finishEvictions(placer)
		for _, h := range p.hosts {
			for len(p.holders[h.Name]) > 0 {
				p.end(placer, h.Name, 0, dotterattempt.PhaseDone)
			}
		}
	}
	assert.Empty(t, p.queue, "tasks that fit were not placed")
}

func TestPlansNeverExceedCapacity(t *testing.T) {
	rapid.Check(t, checkRandomPlans)
}

func FuzzPlans(f *testing.F) {
	f.Fuzz(rapid.MakeFuzz(checkRandomPlans))
}
