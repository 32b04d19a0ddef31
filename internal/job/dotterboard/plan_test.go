package dotterboard

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// wholeWorkers returns a step of tasks that take a worker each, for span.
func wholeWorkers(count int, span dotterclock.Millis) dotterjob.Step {
	step := tasks(count, span)
	step.Size = dotterroom.Room{MilliCores: 64_000, MemoryMB: 240_000}
	return step
}

// newFullShard returns a shard on whose workers a job has just taken all room for span.
func newFullShard(t *testing.T, workers int, span dotterclock.Millis) (*shard, dotterjob.ID) {
	s := newShard(t, workers)
	s.run(200)
	id := s.submit(1, wholeWorkers(workers, span))
	s.run(100)
	return s, id
}

// TestQueueDoesNotGrowTheCostOfPlans is the load of a burst and of a takeover: hundreds
// of steps wait while the pool is full. Ranking the workers for each of them in each
// plan leaves an owner no time for orders, and the queue grows on.
func TestQueueDoesNotGrowTheCostOfPlans(t *testing.T) {
	const span = dotterclock.Second
	tests := map[string]struct {
		step  dotterjob.Step
		retry dotterclock.Millis
	}{
		"filling steps": {fillingOf("heavy", 4, 30_000, true), fillRetrySpan},
		"other steps":   {tasks(4, 30_000), retrySpan},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := newFullShard(t, 4, 60_000)
			for i := range 300 {
				s.submitTo(lowQueue, 100+i, tc.step)
			}
			s.run(100)
			before := s.board.Summary(s.clock.Now()).Ranked
			s.run(span)
			ranked := s.board.Summary(s.clock.Now()).Ranked - before
			assert.LessOrEqual(t, ranked, int64(span/tc.retry)+1, "like steps are ranked once for all of them")
			s.requireNoViolations()
		})
	}
}

// TestFreedRoomIsFound: a step that found no worker gets the room that an end frees
// within its retry span, in the order of ranks.
func TestFreedRoomIsFound(t *testing.T) {
	s, first := newFullShard(t, 1, 1000)
	low := s.submitTo(lowQueue, 2, wholeWorkers(1, 1000))
	high := s.submit(3, wholeWorkers(1, 1000))
	s.until(3000, s.stateIs(first, dotterjob.Completed))
	s.until(2*retrySpan+100, s.stateIs(high, dotterjob.Running))
	assert.Equal(t, dotterjob.Queued, s.state(low))
	s.until(3000, s.stateIs(low, dotterjob.Completed))
	s.requireNoViolations()
}

// TestOrderOfSteps is the load of a full pool: of two jobs that wait for the only
// worker's room, the one that is worth more by then goes first.
func TestOrderOfSteps(t *testing.T) {
	short, large, lasting := tasks(1, 4000), tasks(1, 4000), servingOf("serving", 1)
	short.Size = dotterroom.Room{MilliCores: 33_000, MemoryMB: 8000} // two don't fit beside each other
	large.Size = dotterroom.Room{MilliCores: 60_000, MemoryMB: 8000}
	lasting.Size = short.Size
	const objective = 6250 // of a job of four seconds: 1.5 times that and 250 ms
	tests := map[string]struct {
		first, second       dotterjob.Step // the second is accepted later
		firstAge, secondAge dotterclock.Millis
		wanted              int
	}{
		"the older one":                       {first: short, second: short, firstAge: 400, wanted: 0},
		"in time before late":                 {first: short, second: short, firstAge: objective, wanted: 1},
		"late before useless":                 {first: short, second: short, firstAge: 4 * objective, secondAge: objective, wanted: 1},
		"useless ones by age":                 {first: short, second: short, firstAge: 5 * objective, secondAge: 4 * objective, wanted: 0},
		"what ends soon before what lasts":    {first: lasting, second: short, firstAge: 400, wanted: 1},
		"what lasts before what is late":      {first: short, second: lasting, firstAge: objective, wanted: 1},
		"large ones before those that fit in": {first: short, second: large, firstAge: 400, wanted: 1},
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
