package dotterboard

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

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
			s := newShard(t, 4)
			s.run(200)
			whole := tasks(4, 60_000)
			whole.Size = dotterroom.Room{MilliCores: 64_000, MemoryMB: 240_000}
			s.submit(1, whole)
			s.run(300)
			for i := range 300 {
				s.submitTo(lowQueue, 100+i, tc.step)
			}
			s.run(100)
			before := s.board.Summary(s.clock.Now()).Ranked
			s.run(span)
			ranked := s.board.Summary(s.clock.Now()).Ranked - before
			assert.LessOrEqual(t, ranked, int64(span/tc.retry)+1, "like steps are ranked once for all of them")
			s.kept()
		})
	}
}

// TestFreedRoomIsFound: a step that found no worker gets the room that an end frees
// within its retry span, in the order of ranks.
func TestFreedRoomIsFound(t *testing.T) {
	s := newShard(t, 1)
	s.run(200)
	whole := tasks(1, 1000)
	whole.Size = dotterroom.Room{MilliCores: 64_000, MemoryMB: 240_000}
	first := s.submit(1, whole)
	s.run(100)
	low := s.submitTo(lowQueue, 2, whole)
	high := s.submit(3, whole)
	s.until(3000, s.is(first, dotterjob.Completed))
	s.until(2*retrySpan+100, s.is(high, dotterjob.Running))
	assert.Equal(t, dotterjob.Queued, s.state(low))
	s.until(3000, s.is(low, dotterjob.Completed))
	s.kept()
}
