package dotterboard

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// TestInvariantsHoldUnderFaults injects random faults into a shard, checks on the workers
// that no invariant is violated, and requires that every job ends once the faults are over.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	const workers = 5
	rapid.Check(t, func(r *rapid.T) {
		s := newShard(t, workers)
		s.pool.ReturnAfter(1500)
		s.run(100)
		worker := func() string {
			up := slices.Sorted(maps.Keys(s.pool.Listed()))
			if len(up) == 0 {
				return ""
			}
			return up[rapid.IntRange(0, len(up)-1).Draw(r, "worker")]
		}
		var ids []dotterjob.ID
		cancelled := map[dotterjob.ID]bool{}
		deposed := false
		actions := map[string]func(){
			"submit":    func() { ids = append(ids, s.submit(len(ids)+1, drawSteps(r)...)) },
			"isolate":   func() { s.pool.SetUnreachable(worker(), true) },
			"reconnect": func() { s.pool.SetUnreachable(worker(), false) },
			"restart":   func() { s.pool.Restart(worker()) },
			"crash":     func() { s.pool.Crash(worker()) },
			"resize": func() {
				cores := int64(rapid.IntRange(2, 64).Draw(r, "cores"))
				s.pool.SetCapacity(worker(), dotterroom.Room{MilliCores: cores * 1000, MemoryMB: 250_000}, 20)
			},
			"deadly": func() {
				if len(ids) > 0 {
					s.pool.MakeDeadly(firstTask(ids[rapid.IntRange(0, len(ids)-1).Draw(r, "job")]))
				}
			},
			"drain":    func() { s.pool.SetDraining(worker(), rapid.Bool().Draw(r, "draining")) },
			"lose":     func() { s.pool.LoseAnswers(worker(), 2) },
			"delay":    func() { s.pool.Delay(worker(), 2) },
			"deliver":  func() { s.pool.Deliver() },
			"store":    func() { s.storeUp = rapid.Bool().Draw(r, "storing") },
			"takeover": func() { s.takeOver(dotterclock.Millis(rapid.IntRange(0, 3000).Draw(r, "span"))); deposed = true },
			"cancel": func() {
				if len(ids) > 0 {
					id := ids[rapid.IntRange(0, len(ids)-1).Draw(r, "job")]
					s.board.Cancel(s.clock.Now(), id, Cancellation{})
					cancelled[id] = true
				}
			},
		}
		names := []string{"submit", "submit", "submit", "isolate", "reconnect", "restart", "drain", "lose", "delay", "deliver", "store", "takeover", "cancel", "crash", "resize", "deadly"}
		for range rapid.IntRange(10, 40).Draw(r, "actions") {
			if len(s.pool.Listed()) > 0 {
				actions[rapid.SampledFrom(names).Draw(r, "action")]()
			}
			s.run(dotterclock.Millis(rapid.IntRange(0, 60).Draw(r, "pause") * 10))
			require.Empty(r, s.pool.Violations())
		}
		s.storeUp = true
		s.run(2000) // crashed workers return
		for id := range s.pool.Listed() {
			s.pool.SetUnreachable(id, false)
			s.pool.SetDraining(id, false)
			s.pool.SetCapacity(id, dotterroom.Room{MilliCores: 64_000, MemoryMB: 250_000}, 0)
		}
		s.pool.Deliver()
		for end := s.clock.Now() + 60_000; s.clock.Now() < end && !s.allFinal(ids); {
			s.run(100)
		}
		require.Empty(r, s.pool.Violations())
		for _, id := range ids {
			// The test does not store cancellations themselves, so that one which a deposed
			// owner has not committed is lost.
			if state := s.state(id); !state.Final() && !(cancelled[id] && deposed) {
				require.Failf(r, "job has no final state", "%s is %s", id, state)
			}
		}
	})
}

// TestTasksThatMayNotMissStay injects random faults and requires that no order ends a
// long-running task on a worker that is not draining, whatever fills beside it. A job may be given
// up after five restarts in a row of workers on which one of its tasks had just started.
func TestTasksThatMayNotMissStay(t *testing.T) {
	const workers = 4
	rapid.Check(t, func(r *rapid.T) {
		s := newShard(t, workers)
		s.run(200)
		serving := servingStep("serving", 8)
		serving.MayMiss = 1
		lasting := s.submit(1, serving)
		s.until(3000, func() bool { return len(s.workersOf(lasting)) == 8 })
		draining := map[string]bool{}
		worker := func() string { return testWorker(rapid.IntRange(0, workers-1).Draw(r, "worker")).ID }
		actions := []func(){
			func() {
				s.submitTo(lowQueue, 2+len(s.accepted), fillingStep("f", 6, 1500, rapid.Bool().Draw(r, "checkpoints")))
			},
			func() {
				id, tail := worker(), dotterclock.Millis(rapid.IntRange(1, int(3*testTarget)).Draw(r, "tail"))
				for _, run := range s.pool.Running()[id] {
					s.pool.SetTail(id, run.Task, tail)
				}
			},
			func() { s.pool.SetSlow(worker(), rapid.IntRange(1, 5).Draw(r, "factor")) },
			func() { s.pool.Restart(worker()) },
			func() { s.takeOver(dotterclock.Millis(rapid.IntRange(0, 3000).Draw(r, "span"))) },
			func() { id := worker(); draining[id] = true; s.pool.SetDraining(id, true) },
		}
		for range rapid.IntRange(5, 20).Draw(r, "actions") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(r, "action")]()
			for range rapid.IntRange(1, 60).Draw(r, "pause") {
				s.run(10)
				for _, w := range s.board.workersByID {
					for _, task := range w.runs {
						if j := task.job(); j.outcome == dotterjob.Failed && strings.Contains(j.reason, "crashed the workers") {
							return
						}
						require.False(r, task.stopping && task.step.LongRunning && !draining[w.ID], "%s is stopped on %s", task.id(), w.ID)
					}
				}
			}
		}
	})
}

// allFinal reports whether all jobs have a final state.
func (s *shard) allFinal(ids []dotterjob.ID) bool {
	for _, id := range ids {
		if !s.state(id).Final() {
			return false
		}
	}
	return true
}

// drawSteps draws the steps of a job.
func drawSteps(r *rapid.T) []dotterjob.Step {
	var steps []dotterjob.Step
	for i := range rapid.IntRange(1, 3).Draw(r, "steps") {
		s := dotterjob.Step{
			Count:       rapid.IntRange(1, 5).Draw(r, "count"),
			Estimate:    dotterclock.Millis(rapid.IntRange(50, 1500).Draw(r, "span")),
			Size:        dotterroom.Room{MilliCores: int64(rapid.IntRange(1, 30).Draw(r, "cores")) * 1000, MemoryMB: 20_000},
			Checkpoints: rapid.Bool().Draw(r, "checkpoints"),
			Fills:       rapid.Bool().Draw(r, "fills"),
		}
		if i > 0 && rapid.Bool().Draw(r, "after") {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	return steps
}
