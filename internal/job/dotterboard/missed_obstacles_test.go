package dotterboard

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// TestMissedTaskLeavesShardThatCannotRunIt guards against lost long-running tasks that stay in a shard whose
// workers have room for them and another obstacle.
func TestMissedTaskLeavesShardThatCannotRunIt(t *testing.T) {
	sized := func(count int, size dotterroom.Room) dotterjob.Step {
		s := lastingStep(count)
		s.Size = size
		return s
	}
	perWorker, labelled := lastingStep(4), lastingStep(8)
	perWorker.PerWorker, labelled.Label = 1, "r0"
	gang, soleGang := sized(4, dotterroom.Room{MilliCores: 60_000, MemoryMB: 100_000}), lastingStep(2)
	gang.Gang, soleGang.Gang = true, true
	tests := map[string]struct {
		step dotterjob.Step
		lost int // workers of the shard, of four
	}{
		"one task a worker":              {step: perWorker, lost: 1},
		"label of workers that are full": {step: labelled, lost: 1},
		"memory is short":                {step: sized(16, dotterroom.Room{MilliCores: 8000, MemoryMB: 57_000}), lost: 1},
		"gang":                           {step: gang, lost: 1},
		"gang, all workers lost":         {step: soleGang, lost: 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFederation(t, map[string]int{"a": 4, "b": 4})
			id := f.submit("a", 1, tc.step)
			f.until(5000, func() bool { return f.runningIn(id)["a"] == tc.step.Count })
			f.run(1000)
			for i := range tc.lost {
				f.pool.Crash(f.worker("a", i))
			}
			f.run(missedAfter + maxMissed)
			counts := f.runningIn(id)
			assert.Equal(t, tc.step.Count, counts["a"]+counts["b"], "%v", counts)
			f.requireNoViolations()
		})
	}
}
