package dotterboard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// wideStep returns a step of count tasks of a third of a worker each.
func wideStep(count int, duration dotterclock.Millis) dotterjob.Step {
	return dotterjob.Step{Count: count, Estimate: duration, Size: dotterroom.Room{MilliCores: 20_000, MemoryMB: 40_000}}
}

// lastingStep returns a step of count long-running tasks of a fifth of a worker each.
func lastingStep(count int) dotterjob.Step {
	return dotterjob.Step{Count: count, LongRunning: true, Estimate: 50, Size: dotterroom.Room{MilliCores: 13_000, MemoryMB: 26_000}}
}

// TestSkewedArrivals accepts all quick jobs in one of three shards, which has room for a
// third of them, and counts those done by their objective. Shards that know nothing of each
// other's room are the baseline.
func TestSkewedArrivals(t *testing.T) {
	const jobs, interval, objective = 24, 240, 1150 // objective: 1.5 times 600 ms and 250 ms
	inTime := func(apart bool) int {
		f := newFederation(t, map[string]int{"a": 2, "b": 2, "c": 2})
		f.apart = apart
		due := map[dotterjob.ID]dotterclock.Millis{}
		done := 0
		for step := range (jobs*interval + objective) / 10 {
			if step%(interval/10) == 0 && len(due) < jobs {
				due[f.submit("a", len(due)+1, wideStep(4, 600))] = f.clock.Now() + objective
			}
			f.run(10)
			for id, at := range due {
				if at != 0 && f.state(id) == dotterjob.Completed && f.clock.Now() <= at {
					done++
					due[id] = 0
				}
			}
		}
		f.requireNoViolations()
		return done
	}
	assert.Less(t, inTime(true), jobs/2, "the load must be too much for one shard")
	assert.GreaterOrEqual(t, inTime(false), jobs*9/10)
}

// TestFullShardBesideEmptyOnes checks that long-running tasks that find no room in their
// shard run in others, well before their users would miss them.
func TestFullShardBesideEmptyOnes(t *testing.T) {
	f := newFederation(t, map[string]int{"a": 2, "b": 2, "c": 2})
	id := f.submit("a", 1, lastingStep(20)) // four fit on a worker
	f.run(2500)
	counts := f.runningIn(id)
	assert.Equal(t, 20, counts["a"]+counts["b"]+counts["c"], "%v", counts)
	assert.Equal(t, 8, counts["a"])
	assert.Equal(t, dotterjob.Running, f.state(id))
	assert.Equal(t, "a", f.homes[id], "a job of which something runs keeps its home")

	f.pool.Restart(f.worker("b", 0))
	f.until(3000, func() bool { c := f.runningIn(id); return c["a"]+c["b"]+c["c"] == 20 })
	f.cancel(id)
	f.run(1000)
	assert.Empty(t, f.runningIn(id), "a cancellation must reach every shard")
	assert.Equal(t, dotterjob.Cancelled, f.state(id))
	f.requireNoViolations()
}

// TestEvacuatedHome checks that jobs leave a failure domain that is put out of service:
// whole jobs between two steps, and long-running tasks one by one as they end.
func TestEvacuatedHome(t *testing.T) {
	f := newFederation(t, map[string]int{"a": 3, "b": 3})
	second := wideStep(3, 400)
	second.After = []int{0}
	stepped := f.submit("a", 1, wideStep(3, 400), second)
	lasting := f.submit("a", 2, lastingStep(3))
	f.until(1000, func() bool { return f.state(stepped) == dotterjob.Running && f.runningIn(lasting)["a"] == 3 })
	f.setOut("a", true)
	late := f.submit("a", 3, wideStep(2, 400))
	f.until(2000, func() bool {
		return f.state(stepped) == dotterjob.Completed && f.state(late) == dotterjob.Completed
	})
	assert.Equal(t, "b", f.homes[stepped])
	assert.Equal(t, 3, f.runningIn(lasting)["a"], "running tasks are left alone")
	for worker := range f.pool.Running() {
		if worker[:1] == "a" {
			f.pool.Restart(worker)
		}
	}
	f.until(3000, func() bool { return f.runningIn(lasting)["b"] == 3 })
	f.requireNoViolations()
}

// TestDomainLosesPower checks that jobs of a failure domain whose workers all crash, and
// whose owner is replaced, complete elsewhere.
func TestDomainLosesPower(t *testing.T) {
	f := newFederation(t, map[string]int{"a": 2, "b": 3})
	id := f.submit("a", 1, wideStep(4, 2000))
	lasting := f.submit("a", 2, lastingStep(2))
	f.until(1000, func() bool { return f.runningIn(id)["a"] == 4 && f.runningIn(lasting)["a"] == 2 })
	f.down["a"] = true
	f.pool.Crash(f.worker("a", 0))
	f.pool.Crash(f.worker("a", 1))
	f.run(7000)
	f.down["a"] = false
	f.shards["a"].takeOver(0)
	f.until(14_000, func() bool {
		return f.state(id) == dotterjob.Completed && f.runningIn(lasting)["b"] == 2
	})
	f.requireNoViolations()
}

// TestWideStepMovesAsAWhole checks that a job with a wide step goes to the shard in which
// all of the step fits, not to one with less room.
func TestWideStepMovesAsAWhole(t *testing.T) {
	f := newFederation(t, map[string]int{"a": 1, "b": 2, "c": 6})
	f.submit("a", 1, lastingStep(4)) // leaves no room for others
	f.run(300)
	id := f.submit("a", 2, wideStep(15, 500))
	f.until(2000, func() bool { return f.state(id) == dotterjob.Completed })
	assert.Equal(t, "c", f.homes[id])
	f.requireNoViolations()
}

// TestFillingJobLeavesBusyShard checks that a job of filling tasks goes to where processor
// time is unused.
func TestFillingJobLeavesBusyShard(t *testing.T) {
	f := newFederation(t, map[string]int{"a": 1, "b": 1})
	f.submit("a", 1, wideStep(3, 20_000))
	f.run(300)
	id := f.submit("a", 2, dotterjob.Step{Count: 4, Fills: true, Estimate: 300, Image: "f", Size: dotterroom.Room{MilliCores: 12_000, MemoryMB: 8000}})
	f.until(2500, func() bool { return f.state(id) == dotterjob.Completed })
	assert.Equal(t, "b", f.homes[id])
	f.requireNoViolations()
}

// TestTransferIsAppliedOnce replaces owners while tasks are handed over.
func TestTransferIsAppliedOnce(t *testing.T) {
	tests := map[string]func(f *federation, id dotterjob.ID){
		"the receiver applies it twice": func(f *federation, _ dotterjob.ID) {
			transfers := f.inbox["b"]
			f.run(500)
			for key, transfer := range transfers {
				f.shards["b"].board.Absorb(f.clock.Now(), 0, key, transfer)
			}
		},
		"the receiver is replaced before it stores the transfer": func(f *federation, _ dotterjob.ID) {
			f.shards["b"].storeUp = false
			f.run(500)
			f.shards["b"].storeUp = true
			f.shards["b"].takeOver(0)
		},
		"the sender is replaced before it stores the transfer": func(f *federation, _ dotterjob.ID) {
			f.shards["a"].storeUp = false
			f.run(1500)
			f.shards["a"].storeUp = true
			f.shards["a"].takeOver(0)
		},
		"both are replaced afterwards": func(f *federation, _ dotterjob.ID) {
			f.run(1200)
			f.shards["a"].takeOver(0)
			f.shards["b"].takeOver(0)
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFederation(t, map[string]int{"a": 1, "b": 3})
			f.submit("a", 1, lastingStep(4)) // leaves no room for others
			f.run(300)
			id := f.submit("a", 2, wideStep(3, 1500))
			lasting := f.submit("a", 3, lastingStep(2))
			disturb(f, id)
			f.until(8000, func() bool {
				c := f.runningIn(lasting)
				return f.state(id) == dotterjob.Completed && c["a"]+c["b"] == 2
			})
			assert.Equal(t, 3, f.pool.Starts(id))
			f.requireNoViolations()
		})
	}
}

// TestShardsKeepInvariantsUnderFaults is TestInvariantsHoldUnderFaults for two shards that
// hand tasks over to each other.
func TestShardsKeepInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		workers := map[string]int{"a": 2, "b": 2}
		f := newFederation(t, workers)
		name := func() string { return rapid.SampledFrom(f.names).Draw(r, "shard") }
		worker := func() string { return f.worker(name(), rapid.IntRange(0, 1).Draw(r, "worker")) }
		var ids []dotterjob.ID
		lasting := map[dotterjob.ID]bool{}
		submit := func() {
			id := dotterjob.ID("")
			if rapid.IntRange(0, 3).Draw(r, "kind") == 0 {
				id = f.submit(name(), len(ids)+1, lastingStep(rapid.IntRange(1, 6).Draw(r, "count")))
				lasting[id] = true
			} else {
				second := wideStep(rapid.IntRange(1, 3).Draw(r, "count"), 200)
				second.After = []int{0}
				id = f.submit(name(), len(ids)+1, wideStep(rapid.IntRange(1, 6).Draw(r, "count"), 300), second)
			}
			ids = append(ids, id)
		}
		actions := map[string]func(){
			"submit":    submit,
			"isolate":   func() { f.pool.SetUnreachable(worker(), true) },
			"reconnect": func() { f.pool.SetUnreachable(worker(), false) },
			"restart":   func() { f.pool.Restart(worker()) },
			"lose":      func() { f.pool.LoseAnswers(worker(), 2) },
			"delay":     func() { f.pool.Delay(worker(), 2) },
			"deliver":   func() { f.pool.Deliver() },
			"store":     func() { f.shards[name()].storeUp = rapid.Bool().Draw(r, "storing") },
			"takeover":  func() { f.shards[name()].takeOver(dotterclock.Millis(rapid.IntRange(0, 3000).Draw(r, "span"))) },
			"out":       func() { f.setOut(name(), rapid.Bool().Draw(r, "out")) },
			"cancel": func() {
				if len(ids) > 0 {
					f.cancel(ids[rapid.IntRange(0, len(ids)-1).Draw(r, "job")])
				}
			},
		}
		names := []string{"submit", "submit", "submit", "isolate", "reconnect", "restart", "lose", "delay", "deliver", "store", "takeover", "out", "cancel"}
		for range rapid.IntRange(10, 40).Draw(r, "actions") {
			actions[rapid.SampledFrom(names).Draw(r, "action")]()
			f.run(dotterclock.Millis(rapid.IntRange(0, 60).Draw(r, "pause") * 10))
			require.Empty(r, f.pool.Violations())
		}
		for _, shard := range f.names {
			f.shards[shard].storeUp = true
			f.setOut(shard, false)
			for i := range workers[shard] {
				f.pool.SetUnreachable(f.worker(shard, i), false)
			}
		}
		for id := range lasting {
			f.cancel(id) // frees the room for the others
		}
		f.run(20_000)
		for _, id := range ids {
			require.True(r, f.state(id).Final(), "job %s at %s is %q", id, f.homes[id], f.state(id))
		}
		require.Empty(r, f.pool.Violations())
	})
}
