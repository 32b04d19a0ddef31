package dotterboard

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// wholeWorkers returns a step of tasks that each take a whole worker for the given duration.
func wholeWorkers(count int, duration dotterclock.Millis) dotterjob.Step {
	step := tasks(count, duration)
	step.Size = dotterroom.Room{MilliCores: 64_000, MemoryMB: 240_000}
	return step
}

// newFullShard returns a shard whose workers have just been filled by a job for the given duration.
func newFullShard(t *testing.T, workers int, duration dotterclock.Millis) (*shard, dotterjob.ID) {
	s := newShard(t, workers)
	s.run(200)
	id := s.submit(1, wholeWorkers(workers, duration))
	s.run(100)
	return s, id
}

// TestPlanCostIsIndependentOfQueueLength guards against ranking all workers for each
// waiting step in each plan. Hundreds of steps wait on a full pool during a burst or
// after a takeover; ranking for each of them leaves the owner no time for orders, and
// the queue keeps growing.
func TestPlanCostIsIndependentOfQueueLength(t *testing.T) {
	const duration = dotterclock.Second
	tests := map[string]struct {
		step  dotterjob.Step
		retry dotterclock.Millis
	}{
		"filling steps": {fillingStep("heavy", 4, 30_000, true), fillRetryDelay},
		"other steps":   {tasks(4, 30_000), retryDelay},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := newFullShard(t, 4, 60_000)
			for i := range 300 {
				s.submitTo(lowQueue, 100+i, tc.step)
			}
			s.run(100)
			before := s.board.Summary(s.clock.Now()).Rankings
			s.run(duration)
			ranked := s.board.Summary(s.clock.Now()).Rankings - before
			assert.LessOrEqual(t, ranked, int64(duration/tc.retry)+1, "steps of the same key share one ranking")
			s.requireNoViolations()
		})
	}
}

// TestFreedCapacityIsReused checks that waiting steps get freed capacity within their
// retry delay, in the order of their ranks.
func TestFreedCapacityIsReused(t *testing.T) {
	s, first := newFullShard(t, 1, 1000)
	low := s.submitTo(lowQueue, 2, wholeWorkers(1, 1000))
	high := s.submit(3, wholeWorkers(1, 1000))
	s.until(3000, s.stateIs(first, dotterjob.Completed))
	s.until(2*retryDelay+100, s.stateIs(high, dotterjob.Running))
	assert.Equal(t, dotterjob.Queued, s.state(low))
	s.until(3000, s.stateIs(low, dotterjob.Completed))
	s.requireNoViolations()
}

// TestMissedTasksGoFirst guards against long-running tasks that have to restart and wait for
// as long as quick tasks take each gap on a full service.
func TestMissedTasksGoFirst(t *testing.T) {
	s := newShard(t, 2)
	s.run(200)
	lasting := s.submit(1, lastingStep(4))
	s.until(1000, func() bool { return len(s.workersOf(lasting)) == 4 })
	s.pool.SetDraining(s.workersOf(lasting)[0], true)
	number := 2
	for end := s.clock.Now() + 8000; s.clock.Now() < end; s.run(50) {
		s.submit(number, tasks(8, 400)) // four times what fits
		number++
	}
	assert.Len(t, s.workersOf(lasting), 4)
	s.requireNoViolations()
}

// TestOrderOfSteps checks that of two jobs that wait for the only worker, the one that
// is worth more at that time starts first.
func TestOrderOfSteps(t *testing.T) {
	short, large, longRunning := tasks(1, 4000), tasks(1, 4000), servingStep("serving", 1)
	short.Size = dotterroom.Room{MilliCores: 33_000, MemoryMB: 8000} // two do not fit on one worker
	large.Size = dotterroom.Room{MilliCores: 60_000, MemoryMB: 8000}
	longRunning.Size = short.Size
	const objective = 6250 // of a job of four seconds: 1.5 times that and 250 ms
	tests := map[string]struct {
		first, second       dotterjob.Step // the second is accepted later
		firstAge, secondAge dotterclock.Millis
		wanted              int
	}{
		"older first":               {first: short, second: short, firstAge: 400, wanted: 0},
		"in time before late":       {first: short, second: short, firstAge: objective, wanted: 1},
		"late before expired":       {first: short, second: short, firstAge: 4 * objective, secondAge: objective, wanted: 1},
		"expired by age":            {first: short, second: short, firstAge: 5 * objective, secondAge: 4 * objective, wanted: 0},
		"short before long-running": {first: longRunning, second: short, firstAge: 400, wanted: 1},
		"long-running before late":  {first: short, second: longRunning, firstAge: objective, wanted: 1},
		"large before small":        {first: short, second: large, firstAge: 400, wanted: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := newFullShard(t, 1, 1000)
			waiting := []dotterjob.ID{s.submitAged(2, tc.firstAge, tc.first), s.submitAged(3, tc.secondAge, tc.second)}
			s.until(3000, func() bool {
				return s.state(waiting[0]) != dotterjob.Queued || s.state(waiting[1]) != dotterjob.Queued
			})
			assert.Equal(t, dotterjob.Running, s.state(waiting[tc.wanted]))
			assert.Equal(t, dotterjob.Queued, s.state(waiting[1-tc.wanted]))
			s.requireNoViolations()
		})
	}
}
