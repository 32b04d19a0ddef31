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

// disturbed is a shard whose serving tasks have a tail that follows their own load and
// the filling images beside them.
type disturbed struct {
	*shard
	own     float64
	users   func(dotterjob.ID, dotterclock.Millis) float64 // in place of own: load of a job's users
	factors map[string]float64                             // of filling images: load added by one that uses a whole worker
	worst   map[string]dotterclock.Millis
	over    dotterclock.Millis // longest time that a serving task was over its target on end
	harmed  dotterclock.Millis // time that serving tasks were over their target, in all
	served  dotterclock.Millis // time that serving tasks ran, in all
}

const testTarget = 50 * dotterclock.Millisecond

// pass lets span pass; tails are set each 100 ms.
func (d *disturbed) pass(span dotterclock.Millis) {
	const step = 100 * dotterclock.Millisecond
	for range span / step {
		for id, runs := range d.pool.Running() {
			pressed := 0.0
			for _, r := range runs {
				if t := d.board.find(r.Task); t.step.Fills {
					pressed += d.factors[t.step.Image] * float64(t.step.Size.MilliCores) / 64_000 * float64(t.pace) / 100
				}
			}
			d.judge(id, runs, pressed, step)
		}
		d.run(step)
	}
}

// judge sets the tails of the worker's serving tasks for a step of time.
func (d *disturbed) judge(worker string, runs []dotterrun.Ref, pressed float64, step dotterclock.Millis) {
	over := false
	for _, r := range runs {
		if !d.board.find(r.Task).step.Serves() {
			continue
		}
		load := d.own + pressed
		if d.users != nil {
			load = d.users(r.Task.Job, d.clock.Now()) + pressed
		}
		tail := dotterclock.Millis(quietTail * float64(testTarget) / max(0.02, 1-load))
		d.pool.SetTail(worker, r.Task, tail)
		d.served += step
		if tail > testTarget {
			over = true
			d.harmed += step
		}
	}
	if !over {
		d.worst[worker] = 0
		return
	}
	d.worst[worker] += step
	d.over = max(d.over, d.worst[worker])
}

func newDisturbed(t *testing.T, workers int, own float64, factors map[string]float64) *disturbed {
	d := &disturbed{shard: newShard(t, workers), own: own, factors: factors, worst: map[string]dotterclock.Millis{}}
	d.run(200)
	if workers > 0 {
		serving := servingOf("serving", workers)
		serving.PerWorker = 1
		d.submit(1_000_000, serving)
		d.run(300)
	}
	return d
}

func servingOf(image string, count int) dotterjob.Step {
	return dotterjob.Step{
		Count: count, LongRunning: true, Image: image, TailTarget: testTarget,
		Size: dotterroom.Room{MilliCores: 13_000, MemoryMB: 26_000},
	}
}

func fillingOf(image string, count int, span dotterclock.Millis, checkpoints bool) dotterjob.Step {
	return dotterjob.Step{
		Count: count, Fills: true, Checkpoints: checkpoints, Image: image, Estimate: span,
		Size: dotterroom.Room{MilliCores: 7000, MemoryMB: 13_000},
	}
}

// TestHarmIsShort: a filling task that harms a serving one is stopped or paced well
// within the time that harm may last, whatever it is.
func TestHarmIsShort(t *testing.T) {
	tests := map[string]struct {
		factor      float64
		count       int
		checkpoints bool
		rises       float64 // by how much the serving tasks' own load rises after a while
	}{
		"tasks that can move":              {factor: 4, count: 8, checkpoints: true},
		"tasks that would lose their work": {factor: 4, count: 8},
		"many that press little":           {factor: 0.25, count: 16, checkpoints: true, rises: 0.2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDisturbed(t, 2, 0.45, map[string]float64{"heavy": tc.factor})
			d.submitTo(lowQueue, 1, fillingOf("heavy", tc.count, 30_000, tc.checkpoints))
			d.pass(3000)
			d.own += tc.rises
			d.pass(20_000)
			assert.Less(t, d.over, testSettings.HarmSpan)
			d.requireNoViolations()
		})
	}
}

// TestFillingTasksGoWhereTheyDoNotHarm is the load of the calm days: images that mostly
// don't disturb the serving one, and some that do. Compared with a policy that looks
// only at room (least loaded first), which harms all the time on this load.
func TestFillingTasksGoWhereTheyDoNotHarm(t *testing.T) {
	const workers = 8
	factors := map[string]float64{"heavy": 4, "light0": 0, "light1": 0, "light2": 0}
	d := newDisturbed(t, workers, 0.45, factors)
	for i := range workers { // workers without serving tasks
		w := testWorker(workers + i)
		d.pool.Add(w)
	}
	d.run(300)
	var ids []dotterjob.ID
	for i := range 40 {
		image := fmt.Sprintf("light%d", i%3)
		if i%4 == 0 {
			image = "heavy"
		}
		ids = append(ids, d.submitTo(lowQueue, i+1, fillingOf(image, 6, 1500, true)))
		d.pass(300)
	}
	d.pass(6000)
	for _, id := range ids {
		require.Equal(t, dotterjob.Completed, d.state(id))
	}
	assert.Less(t, d.over, 2*dotterclock.Second)
	d.requireNoViolations()
}
