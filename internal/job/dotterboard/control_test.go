package dotterboard

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
)

// loadedShard is a shard whose serving tasks report tail latencies that follow from
// their own load and the filling tasks beside them.
type loadedShard struct {
	*shard
	ownLoad      float64
	userLoad     func(dotterjob.ID, dotterclock.Millis) float64 // load of a job's users; replaces ownLoad if set
	factors      map[string]float64                             // by filling image: load that it adds per whole worker
	overFor      map[string]dotterclock.Millis                  // by worker: how long a serving task has been over its target until now
	longestOver  dotterclock.Millis                             // longest time that serving tasks of a worker were over their target without a break
	totalOver    dotterclock.Millis                             // total time of serving tasks over their target
	totalServing dotterclock.Millis                             // total run time of serving tasks
}

const testTarget = 50 * dotterclock.Millisecond

// runLoaded runs the shard for the given duration and sets the tail latencies every 100 ms.
func (s *loadedShard) runLoaded(duration dotterclock.Millis) {
	const step = 100 * dotterclock.Millisecond
	for range duration / step {
		for id, runs := range s.pool.Running() {
			addedLoad := 0.0
			for _, r := range runs {
				if t := s.board.find(r.Task); t.step.Fills {
					addedLoad += s.factors[t.step.Image] * float64(t.step.Size.MilliCores) / 64_000 * float64(t.pace) / 100
				}
			}
			s.setTails(id, runs, addedLoad, step)
		}
		s.run(step)
	}
}

// setTails sets the tail latencies of a worker's serving tasks and counts a step of time
// for them.
func (s *loadedShard) setTails(worker string, runs []dotterrun.Ref, addedLoad float64, step dotterclock.Millis) {
	over := false
	for _, r := range runs {
		if !s.board.find(r.Task).step.Serves() {
			continue
		}
		load := s.ownLoad + addedLoad
		if s.userLoad != nil {
			load = s.userLoad(r.Task.Job, s.clock.Now()) + addedLoad
		}
		tail := dotterclock.Millis(unloadedTail * float64(testTarget) / max(0.02, 1-load))
		s.pool.SetTail(worker, r.Task, tail)
		s.totalServing += step
		if tail > testTarget {
			over = true
			s.totalOver += step
		}
	}
	if !over {
		s.overFor[worker] = 0
		return
	}
	s.overFor[worker] += step
	s.longestOver = max(s.longestOver, s.overFor[worker])
}

func newLoadedShard(t *testing.T, workers int, ownLoad float64, factors map[string]float64) *loadedShard {
	return newLoadedShardWith(t, testSettings, workers, ownLoad, factors)
}

func newLoadedShardWith(t *testing.T, settings Settings, workers int, ownLoad float64, factors map[string]float64) *loadedShard {
	s := &loadedShard{shard: newShardWith(t, settings, workers), ownLoad: ownLoad, factors: factors, overFor: map[string]dotterclock.Millis{}}
	s.run(200)
	if workers > 0 {
		serving := servingStep("serving", workers)
		serving.PerWorker = 1
		s.submit(1_000_000, serving)
		s.run(300)
	}
	return s
}

func servingStep(image string, count int) dotterjob.Step {
	return dotterjob.Step{
		Count: count, LongRunning: true, Image: image, TailTarget: testTarget,
		Size: dotterroom.Room{MilliCores: 13_000, MemoryMB: 26_000},
	}
}

func fillingStep(image string, count int, duration dotterclock.Millis, checkpoints bool) dotterjob.Step {
	return dotterjob.Step{
		Count: count, Fills: true, Checkpoints: checkpoints, Image: image, Estimate: duration,
		Size: dotterroom.Room{MilliCores: 7000, MemoryMB: 13_000},
	}
}

// TestInterferenceIsShort checks that a filling task that pushes a serving task over its
// target is stopped or throttled within MaxOverTarget, whatever the task.
func TestInterferenceIsShort(t *testing.T) {
	tests := map[string]struct {
		factor      float64
		count       int
		checkpoints bool
		loadRise    float64 // rise of the serving tasks' own load after 3 s
	}{
		"with checkpoints":           {factor: 4, count: 8, checkpoints: true},
		"without checkpoints":        {factor: 4, count: 8},
		"many tasks of small effect": {factor: 0.25, count: 16, checkpoints: true, loadRise: 0.2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newLoadedShard(t, 2, 0.45, map[string]float64{"heavy": tc.factor})
			s.submitTo(lowQueue, 1, fillingStep("heavy", tc.count, 30_000, tc.checkpoints))
			s.runLoaded(3000)
			s.ownLoad += tc.loadRise
			s.runLoaded(20_000)
			assert.Less(t, s.longestOver, testSettings.MaxOverTarget)
			s.requireNoViolations()
		})
	}
}

// TestFillingTasksAvoidInterference places images of which most do not affect the
// serving tasks and some do. A policy that only looks at capacity, such as least loaded
// first, keeps serving tasks over their target all the time on this load.
func TestFillingTasksAvoidInterference(t *testing.T) {
	const workers = 8
	factors := map[string]float64{"heavy": 4, "light0": 0, "light1": 0, "light2": 0}
	s := newLoadedShard(t, workers, 0.45, factors)
	for i := range workers { // workers without serving tasks
		w := testWorker(workers + i)
		s.pool.Add(w)
	}
	s.run(300)
	var ids []dotterjob.ID
	for i := range 40 {
		image := fmt.Sprintf("light%d", i%3)
		if i%4 == 0 {
			image = "heavy"
		}
		ids = append(ids, s.submitTo(lowQueue, i+1, fillingStep(image, 6, 1500, true)))
		s.runLoaded(300)
	}
	s.runLoaded(6000)
	for _, id := range ids {
		require.Equal(t, dotterjob.Completed, s.state(id))
	}
	assert.Less(t, s.longestOver, 2*dotterclock.Second)
	s.requireNoViolations()
}
