package dotterboard

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
)

func TestJobsEndAsTheyShould(t *testing.T) {
	after := tasks(3, 300)
	after.After = []int{0}
	gang := tasks(4, 500)
	gang.Gang = true
	spread := tasks(4, 400)
	spread.PerWorker = 1
	labelled := tasks(2, 400)
	labelled.Label = "r1"
	tests := map[string]struct {
		steps   []dotterjob.Step
		failing bool
		want    dotterjob.State
		starts  int
	}{
		"one step":             {steps: []dotterjob.Step{tasks(5, 400)}, want: dotterjob.Completed, starts: 5},
		"a step after another": {steps: []dotterjob.Step{tasks(5, 400), after}, want: dotterjob.Completed, starts: 8},
		"a gang":               {steps: []dotterjob.Step{gang}, want: dotterjob.Completed, starts: 4},
		"one task a worker":    {steps: []dotterjob.Step{spread}, want: dotterjob.Completed, starts: 4},
		"on labelled workers":  {steps: []dotterjob.Step{labelled}, want: dotterjob.Completed, starts: 2},
		"a task always fails":  {steps: []dotterjob.Step{tasks(1, 200)}, failing: true, want: dotterjob.Failed, starts: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newShard(t, 4)
			id := s.submit(1, tc.steps...)
			if tc.failing {
				s.pool.FailAlways(id)
			}
			s.until(10_000, func() bool { return s.state(id).Final() })
			assert.Equal(t, tc.want, s.state(id))
			s.run(2000)
			assert.Equal(t, tc.starts, s.pool.Starts(id))
			s.requireNoViolations()
		})
	}
}

func TestNothingStartsOrIsShownBeforeTheStoreHasIt(t *testing.T) {
	s := newShard(t, 2)
	s.run(200)
	s.storing = false
	id := s.submit(1, tasks(3, 400))
	s.run(2000)
	assert.Zero(t, s.pool.Starts(id), "started without a stored binding")
	s.storing = true
	s.until(1000, s.stateIs(id, dotterjob.Running))
	s.run(100)
	s.storing = false
	s.run(2000)
	assert.Equal(t, dotterjob.Running, s.state(id), "shown as completed before the store has it")
	s.takeOver(0)
	s.run(500)
	s.storing = true
	s.until(2000, s.stateIs(id, dotterjob.Completed))
	assert.Equal(t, 3, s.pool.Starts(id), "the unacknowledged ends were listed again")
	s.requireNoViolations()
}

func TestStartWithoutAnswerIsResolved(t *testing.T) {
	tests := map[string]struct {
		disturb func(s *shard)
		starts  int
	}{
		"carried out, the answer lost": {disturb: func(s *shard) { s.pool.LoseAnswers("w00", 1) }, starts: 1},
		"kept and carried out late":    {disturb: func(s *shard) { s.pool.Delay("w00", 1) }, starts: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newShard(t, 1)
			s.run(200)
			tc.disturb(s)
			id := s.submit(1, tasks(1, 600))
			s.run(300)
			s.pool.Deliver()
			s.until(4000, s.stateIs(id, dotterjob.Completed))
			assert.Equal(t, tc.starts, s.pool.Starts(id))
			s.requireNoViolations()
		})
	}
}

func TestSealedStartIsNeverCarriedOut(t *testing.T) {
	s := newShard(t, 2)
	s.run(200)
	s.pool.Delay("w00", 1)
	s.pool.Delay("w01", 1)
	id := s.submit(1, tasks(1, 3000))
	s.until(2000, func() bool { return len(s.workersOf(id)) == 1 })
	s.pool.Deliver() // the stop has sealed the first start off
	s.run(200)
	assert.Len(t, s.workersOf(id), 1)
	s.requireNoViolations()
}

func TestRunsOnSilentWorkersAreGivenUpAfterTheirLease(t *testing.T) {
	tests := map[string]struct {
		takeOver bool
		span     dotterclock.Millis // that the predecessor may go on renewing
		least    dotterclock.Millis
		most     dotterclock.Millis
	}{
		"by the owner that started them":          {least: 5500, most: 6500},
		"by a successor of an owner that let go":  {takeOver: true, least: 5500, most: 6500},
		"by a successor of an owner that may act": {takeOver: true, span: 2000, least: 7500, most: 8500},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newShard(t, 1)
			s.run(200)
			id := s.submit(1, dotterjob.Step{Count: 1, LongRunning: true, Size: dotterroom.Room{MilliCores: 1000}})
			s.until(1000, s.stateIs(id, dotterjob.Running))
			s.pool.Add(testWorker(1))
			s.run(200)
			s.pool.SetDark("w00", true)
			if tc.takeOver {
				s.takeOver(tc.span)
			}
			began := s.clock.Now()
			s.until(20_000, func() bool { return s.pool.Starts(id) == 2 })
			assert.GreaterOrEqual(t, s.clock.Now()-began, tc.least)
			assert.LessOrEqual(t, s.clock.Now()-began, tc.most)
			s.pool.SetDark("w00", false)
			s.run(2000)
			assert.Equal(t, []string{"w01"}, s.workersOf(id))
			s.requireNoViolations()
		})
	}
}

func TestSuccessorGoesOnWithWhatRuns(t *testing.T) {
	s := newShard(t, 3)
	s.run(200)
	id := s.submit(1, tasks(6, 2000))
	s.until(1000, func() bool { return len(s.workersOf(id)) == 6 })
	former := s.board
	s.takeOver(2000)
	s.until(5000, s.stateIs(id, dotterjob.Completed))
	assert.Equal(t, 6, s.pool.Starts(id))
	renewal, ok := former.Renewal(s.clock.Now(), "w00")
	require.True(t, ok)
	listing, err := s.pool.Renew(t.Context(), testWorker(0), renewal)
	require.NoError(t, err)
	former.Listed(s.clock.Now(), s.clock.Now(), "w00", listing)
	assert.True(t, former.Deposed(), "a worker that has seen the successor refuses the former owner")
	s.requireNoViolations()
}

func TestSuccessorStartsWhatNeverArrived(t *testing.T) {
	s := newShard(t, 1)
	s.run(200)
	s.pool.Delay("w00", 1)
	id := s.submit(1, tasks(1, 500))
	s.run(20)
	s.takeOver(2000)
	s.run(150)
	s.pool.Deliver() // the predecessor's start, of a lower epoch
	s.until(3000, s.stateIs(id, dotterjob.Completed))
	assert.Equal(t, 1, s.pool.Starts(id))
	s.requireNoViolations()
}

func TestWorkerInANewLife(t *testing.T) {
	s := newShard(t, 1)
	s.run(200)
	id := s.submit(1, tasks(2, 1000))
	s.until(1000, func() bool { return len(s.workersOf(id)) == 2 })
	s.pool.Restart("w00")
	s.until(4000, s.stateIs(id, dotterjob.Completed))
	assert.Equal(t, 4, s.pool.Starts(id))
	s.requireNoViolations()
}

func TestCancelledJobStops(t *testing.T) {
	s := newShard(t, 2)
	s.run(200)
	id := s.submit(1, tasks(4, 60_000), tasks(2, 60_000))
	s.until(1000, func() bool { return len(s.workersOf(id)) == 6 })
	s.board.Cancel(s.clock.Now(), id)
	s.run(400)
	assert.Empty(t, s.workersOf(id))
	assert.Equal(t, dotterjob.Cancelled, s.state(id))
	s.run(1000)
	assert.Equal(t, 6, s.pool.Starts(id))
	s.requireNoViolations()
}

func TestNoStartWhereNoneIsAllowed(t *testing.T) {
	tests := map[string]func(s *shard){
		"draining worker":         func(s *shard) { s.pool.SetDraining("w00", true) },
		"silent worker":           func(s *shard) { s.pool.SetDark("w00", true) },
		"domain out":              func(s *shard) { s.board.Configure(testDocument(), map[string]bool{"a": true}) },
		"crashed, still not back": func(s *shard) { s.pool.Crash("w00") },
	}
	for name, forbid := range tests {
		t.Run(name, func(t *testing.T) {
			s := newShard(t, 1)
			s.run(200)
			forbid(s)
			s.run(200)
			id := s.submit(1, tasks(1, 500))
			s.run(3000)
			assert.Zero(t, s.pool.Starts(id))
			assert.Equal(t, dotterjob.Queued, s.state(id))
			s.requireNoViolations()
		})
	}
}

func TestLongRunningTasksComeBack(t *testing.T) {
	lasting := dotterjob.Step{Count: 3, LongRunning: true, Size: dotterroom.Room{MilliCores: 13_000, MemoryMB: 26_000}}
	tests := map[string]func(s *shard){
		"worker restarts": func(s *shard) { s.pool.Restart("w00") },
		"worker drains":   func(s *shard) { s.pool.SetDraining("w00", true) },
		"worker crashes":  func(s *shard) { s.pool.Crash("w00") },
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			s := newShard(t, 3)
			s.run(200)
			id := s.submit(1, lasting)
			s.until(1000, func() bool { return len(s.workersOf(id)) == 3 })
			disturb(s)
			s.run(300)
			s.until(8000, func() bool { return len(s.workersOf(id)) == 3 })
			s.requireNoViolations()
		})
	}
}

func TestWorkerThatFailsEverythingIsAvoided(t *testing.T) {
	s := newShard(t, 4)
	s.pool.SetFailing("w01", true)
	s.run(200)
	var ids []dotterjob.ID
	for i := range 40 {
		ids = append(ids, s.submit(i+1, tasks(2, 300)))
		s.run(150)
	}
	s.run(3000)
	completed := 0
	for _, id := range ids {
		if s.state(id) == dotterjob.Completed {
			completed++
		}
	}
	assert.GreaterOrEqual(t, completed, 38, "jobs lost to one bad worker")
	s.requireNoViolations()
}

func TestRunOfANewLifeIsNotTakenForOneOfTheOldLife(t *testing.T) {
	s := newShard(t, 1)
	s.run(200)
	first := s.submit(1, tasks(3, 100))
	s.until(2000, s.stateIs(first, dotterjob.Completed))
	s.run(300)
	s.pool.Restart("w00") // its ends have the numbers of the old life's again
	second := s.submit(2, tasks(3, 50))
	s.until(5000, s.stateIs(second, dotterjob.Completed))
	assert.Equal(t, 3, s.pool.Starts(second), "an acknowledgement meant for the old life")
	s.requireNoViolations()
}

func TestQueueWithAPolicyStartsOnlyOnAdmittedWorkers(t *testing.T) {
	s := newShard(t, 4)
	s.run(200)
	id := s.submit(1, tasks(2, 500))
	s.board.jobs[id].queue.Advice = &dotterqueues.Advice{Valid: 3000}
	s.run(300)
	assert.Zero(t, s.pool.Starts(id), "started without a ticket")
	now := s.clock.Now()
	q, ok := s.board.Question(now, now)
	require.True(t, ok)
	assert.Len(t, q.Workers, 4)
	_, again := s.board.Question(now, now)
	assert.False(t, again, "one question a step at a time")
	s.board.Advised(now, now, q, dotterrun.Advice{Tickets: map[string]string{"w02": "code"}, Valid: 3000}, nil)
	s.until(2000, func() bool { return len(s.workersOf(id)) == 2 })
	assert.Equal(t, []string{"w02", "w02"}, s.workersOf(id))
	s.requireNoViolations()
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	gang := tasks(4, 500)
	gang.Gang = true
	gang.Size.MilliCores = 20_000 // three fit on one worker
	s := newShard(t, 1)
	s.run(200)
	id := s.submit(1, gang)
	s.run(1000)
	assert.Zero(t, s.pool.Starts(id))
	s.pool.Add(testWorker(1))
	s.until(3000, s.stateIs(id, dotterjob.Completed))
	assert.Equal(t, 4, s.pool.Starts(id))
	s.requireNoViolations()
}

// TestSlowWorkerIsAvoided is the load of days on which some workers turn slow. A
// policy that looks only at room puts a quarter of the tasks there.
func TestSlowWorkerIsAvoided(t *testing.T) {
	s := newShard(t, 4)
	s.run(200)
	for i := range 5 {
		spread := tasks(8, 400)
		spread.PerWorker = 2
		id := s.submit(1000+i, spread)
		s.until(2000, s.stateIs(id, dotterjob.Completed))
	}
	s.pool.SetSlow("w00", 6)
	late := 0
	for i := range 60 {
		step := tasks(3, 400)
		step.Checkpoints = i%2 == 0
		began := s.clock.Now()
		id := s.submit(i+1, step)
		s.until(20_000, s.stateIs(id, dotterjob.Completed))
		if s.clock.Now()-began > 1000 {
			late++
		}
	}
	assert.LessOrEqual(t, late, 8, "jobs that a slow worker made late")
	s.requireNoViolations()
}

// TestFaultyDeclarationsAreNotBlamedOnWorkers is the load of the larger sites: steps
// declare times that are off by up to three times either way. No worker is slow, and
// none is to lose its tasks for that.
func TestFaultyDeclarationsAreNotBlamedOnWorkers(t *testing.T) {
	s := newShard(t, 6)
	s.run(200)
	random := rand.New(rand.NewPCG(1, 2))
	var ids []dotterjob.ID
	for i := range 150 {
		span := 800 + random.IntN(2000)
		step := tasks(8, dotterclock.Millis(span))
		step.Checkpoints = true
		ids = append(ids, s.submitDeclared(i+1, dotterclock.Millis(float64(span)*math.Exp(2.2*(random.Float64()-0.5))), step))
		s.run(300)
	}
	s.run(6000)
	starts := 0
	for _, id := range ids {
		assert.Equal(t, dotterjob.Completed, s.state(id))
		starts += s.pool.Starts(id)
	}
	assert.LessOrEqual(t, starts-8*len(ids), 8*len(ids)/100, "starts beyond one a task")
	s.requireNoViolations()
}

// TestSuccessorDoesNotGiveUpWhatItHasSeenRunning: the first listing shows a run, and the
// next renewal comes late, as with many workers after a takeover.
func TestSuccessorDoesNotGiveUpWhatItHasSeenRunning(t *testing.T) {
	s := newShard(t, 2)
	s.run(200)
	id := s.submit(1, tasks(4, 20_000))
	s.until(1000, func() bool { return len(s.workersOf(id)) == 4 })
	s.takeOver(0)
	s.board.UpdateDirectory(s.clock.Now(), s.pool.Listed())
	for _, w := range s.board.Sessions() {
		s.renew(w)
	}
	s.clock.Advance(1500)
	s.board.Plan(s.clock.Now(), s.clock.Now())
	s.run(500)
	assert.Equal(t, 4, s.pool.Starts(id))
	s.requireNoViolations()
}
