package dotterboard

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterstandpool"
)

// gangOf returns a step of a gang of six; perWorker of its members fit on a worker.
func gangOf(perWorker int64) dotterjob.Step {
	return dotterjob.Step{Count: 6, Gang: true, Checkpoints: true, Estimate: 20_000, Size: dotterroom.Room{MilliCores: 64_000 / perWorker, MemoryMB: 8000}}
}

// newFailingShard returns a shard on whose workers a stop takes a while, so that members of a gang can fail while others stop.
func newFailingShard(t *testing.T) *shard {
	s := newShard(t, 6)
	s.pool.SetCosts(dotterstandpool.Costs{Stop: 400, Restore: 100, Save: 5000})
	s.run(300)
	return s
}

// failEverywhere fails at most count runs of the job on each worker.
func (s *shard) failEverywhere(id dotterjob.ID, count int) {
	for worker := range s.pool.Listed() {
		s.pool.FailRuns(worker, id, count)
	}
}

// TestFailedRunOfGangIsOneAttempt guards against a gang that is given up after one failed run, because each of its members that
// failed counted as an attempt, and against one that is started more often than its queue allows.
func TestFailedRunOfGangIsOneAttempt(t *testing.T) {
	tests := map[string]struct {
		perWorker int64
		fail      func(s *shard, id dotterjob.ID) // fails the run that is going on
	}{
		"one member": {6, func(s *shard, id dotterjob.ID) { s.pool.FailRuns(s.workersOf(id)[0], id, 1) }},
		"all members on one worker, in one listing": {6, func(s *shard, id dotterjob.ID) { s.failEverywhere(id, 6) }},
		"all members on one worker, in several listings": {6, func(s *shard, id dotterjob.ID) {
			for range 3 {
				s.failEverywhere(id, 2)
				s.run(110)
			}
		}},
		"members on several workers, at once": {2, func(s *shard, id dotterjob.ID) { s.failEverywhere(id, 6) }},
		"members on several workers, one after the other": {2, func(s *shard, id dotterjob.ID) {
			for _, worker := range s.workersOf(id) {
				s.pool.FailRuns(worker, id, 1)
				s.run(60)
			}
		}},
		"takeover between two listings": {6, func(s *shard, id dotterjob.ID) {
			s.failEverywhere(id, 1)
			s.run(110)
			s.takeOver(0)
			s.failEverywhere(id, 5)
		}},
		"takeovers after each listing": {1, func(s *shard, id dotterjob.ID) {
			for _, worker := range s.workersOf(id) {
				s.pool.FailRuns(worker, id, 1)
				s.run(60)
				s.takeOver(0)
			}
		}},
		"takeover before a listing is stored": {6, func(s *shard, id dotterjob.ID) {
			s.storeUp = false
			s.failEverywhere(id, 3)
			s.run(110)
			s.takeOver(0)
			s.storeUp = true
			s.failEverywhere(id, 3)
		}},
		"some are stopped": {2, func(s *shard, id dotterjob.ID) {
			worker := s.workersOf(id)[0]
			s.pool.FailRuns(worker, id, 1)
			s.run(200) // the others are being stopped
			s.pool.FailRuns(worker, id, 1)
		}},
		"some are lost with their worker": {2, func(s *shard, id dotterjob.ID) {
			ids := s.workersOf(id)
			s.pool.FailRuns(ids[0], id, 2)
			s.run(30)
			s.pool.Restart(ids[5])
			s.failEverywhere(id, 6)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newFailingShard(t)
			id := s.submit(1, gangOf(tc.perWorker))
			for attempt := range 2 { // what the queue allows
				s.until(9000, func() bool { return len(s.workersOf(id)) == 6 && s.pool.Starts(id) == 6*(attempt+1) })
				require.Equal(t, dotterjob.Running, s.state(id))
				s.run(600)
				tc.fail(s, id)
			}
			s.until(1000, s.stateIs(id, dotterjob.Failed))
			s.run(3000)
			assert.Equal(t, 12, s.pool.Starts(id))
			s.requireNoViolations()
		})
	}
}

// TestAttemptsOfDividedGang guards against a run that counts as several attempts, or as none, because the progress of the gang's
// members is stored in several parts and the owner is replaced before all of them are.
func TestAttemptsOfDividedGang(t *testing.T) {
	s := newFailingShard(t)
	gang := smallTasks(600, 20_000)
	gang.Gang = true
	id := s.submit(1, gang)
	for attempt := range 2 {
		s.oneBatch = false
		s.until(9000, func() bool { return len(s.workersOf(id)) == 600 && s.pool.Starts(id) == 600*(attempt+1) })
		require.Equal(t, dotterjob.Running, s.state(id))
		s.run(600)
		s.oneBatch = true
		for range 6 {
			s.failEverywhere(id, 40)
			s.run(20)
			s.takeOver(0)
		}
	}
	s.until(2000, s.stateIs(id, dotterjob.Failed))
	s.oneBatch = false
	s.run(3000)
	assert.Equal(t, 1200, s.pool.Starts(id))
	s.requireNoViolations()
}

// TestAttemptsOfGangGoWithHandover guards against a gang that is started more often than its queue allows because its home
// changed, and against attempts that count anew there.
func TestAttemptsOfGangGoWithHandover(t *testing.T) {
	f := newFederation(t, map[string]int{"a": 2, "b": 2})
	f.pool.SetCosts(dotterstandpool.Costs{Stop: 400})
	id := f.submit("a", 1, gangOf(6))
	f.until(3000, func() bool { return f.runningIn(id)["a"] == 6 })
	f.setOut("a", true)
	f.shards["a"].failEverywhere(id, 6)
	f.until(5000, func() bool { return f.runningIn(id)["b"] == 6 })
	f.replaceOwner("b")
	f.run(500)
	f.shards["b"].failEverywhere(id, 6)
	f.until(2000, func() bool { return f.state(id) == dotterjob.Failed })
	f.run(2000)
	assert.Equal(t, 12, f.pool.Starts(id))
	f.requireNoViolations()
}

// TestAttemptsStoredTooHigh checks a gang whose failed members an earlier version has counted one by one. The attempts that it
// has had are at most as many as its earlier runs.
func TestAttemptsStoredTooHigh(t *testing.T) {
	member := func(index int, worker string) TaskRecord {
		return TaskRecord{Index: index, Run: 1, Failures: 3, Worker: worker}
	}
	tests := map[string]struct {
		bound int // members whose ends are not listed yet
	}{
		"run is over":            {},
		"run is partly recorded": {bound: 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newFailingShard(t)
			s.document = dotterqueues.NewDocument(8, []dotterqueues.Queue{{Host: "callers.example", Prefix: "/quick/", Service: testService, MaxAttempts: 4}}, nil, dotterqueues.Limits{})
			s.takeOver(0)
			s.run(300)
			id := s.submit(1, gangOf(6))
			s.until(3000, func() bool { return len(s.workersOf(id)) == 6 })
			s.run(500)
			worker := s.workersOf(id)[0]
			step := StepRecord{}
			for i := range 6 {
				if i < 6-tc.bound {
					step.Tasks = append(step.Tasks, member(i, ""))
				} else {
					step.Tasks = append(step.Tasks, member(i, worker))
				}
			}
			record, err := json.Marshal(Record{Begun: true, Steps: []StepRecord{step}})
			require.NoError(t, err)
			s.failEverywhere(id, 6)
			s.stored[id] = record
			s.takeOver(0)
			for run := 2; run <= 4; run++ {
				s.until(9000, func() bool { return len(s.workersOf(id)) == 6 && s.pool.Starts(id) == 6*run })
				require.Equal(t, dotterjob.Running, s.state(id), fmt.Sprintf("in run %d of 4", run))
				s.run(600)
				s.failEverywhere(id, 6)
			}
			s.until(1000, s.stateIs(id, dotterjob.Failed))
			s.run(2000)
			assert.Equal(t, 24, s.pool.Starts(id))
		})
	}
}

// TestFailedRunOfGangIsOneFaultOfItsWorker guards against a worker in quarantine because several members of one gang failed
// there in one run.
func TestFailedRunOfGangIsOneFaultOfItsWorker(t *testing.T) {
	tests := map[string]struct {
		perWorker int64
		count     int // members that fail on each worker
	}{
		"all members on one worker":  {6, 6},
		"one member on one worker":   {6, 1},
		"members on several workers": {2, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newFailingShard(t)
			id := s.submit(1, gangOf(tc.perWorker))
			s.until(3000, func() bool { return len(s.workersOf(id)) == 6 })
			s.run(600)
			used := s.workersOf(id)
			s.failEverywhere(id, tc.count)
			s.run(100)
			for _, worker := range used {
				assert.InDelta(t, 1, s.board.workers[worker].faults.decayedWeight(s.clock.Now()), 0.1, "faults of %s", worker)
			}
		})
	}
}
