package dotterboard

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterstandpool"
)

// expensiveStops are the costs of a deployment in which a stop costs more than a filling
// task's run time.
var expensiveStops = dotterstandpool.Costs{Stop: 900, Restore: 600, Save: 500}

// weighingSettings returns testSettings with these costs and the switch on or off.
func weighingSettings(weigh bool) Settings {
	s := testSettings
	s.StopDelay, s.RestoreDelay, s.CheckpointInterval = expensiveStops.Stop, expensiveStops.Restore, expensiveStops.Save
	s.WeighStops = weigh
	return s
}

// reliefResult is what a run of swingingLoad measures.
type reliefResult struct {
	stops        int64
	over         dotterclock.Millis // total time of serving tasks over their targets
	longestOver  dotterclock.Millis
	serving      dotterclock.Millis // total run time of serving tasks
	jobs, done   int
	meanDuration dotterclock.Millis // of the jobs that are done
	inTime       int                // jobs done within their objective
}

// swingingLoad runs filling tasks beside serving tasks whose user load swings by half in
// 14 s, for each job at another time. Every third filling job has an image that interferes
// strongly.
func swingingLoad(t *testing.T, settings Settings, tasksPerJob int, length dotterclock.Millis) reliefResult {
	const (
		workers  = 12
		duration = 60 * dotterclock.Second
	)
	s := newLoadedShardWith(t, settings, 0, 0, map[string]float64{"heavy": 2.4, "light": 0.1})
	s.pool.SetCosts(expensiveStops)
	for i := range workers {
		s.pool.Add(testWorker(i))
	}
	s.run(300)
	var serving []dotterjob.ID
	for i := range workers / 3 {
		serving = append(serving, s.submit(100+i, servingStep("serving", 12)))
		s.run(100)
	}
	s.userLoad = func(id dotterjob.ID, at dotterclock.Millis) float64 {
		phase := dotterclock.Millis(slices.Index(serving, id)) * 14_000 / dotterclock.Millis(len(serving))
		return sinusoidalLoad(0.225, 14_000)(at + phase)
	}
	s.runLoaded(6000)
	s.totalOver, s.totalServing = 0, 0
	before := s.board.Summary(s.clock.Now()).Endings[dotterrun.Stopped]
	var r reliefResult
	submitted, ended := map[dotterjob.ID]dotterclock.Millis{}, map[dotterjob.ID]dotterclock.Millis{}
	observe := func() {
		for id := range submitted {
			if _, ok := ended[id]; !ok && s.state(id) == dotterjob.Completed {
				ended[id] = s.clock.Now()
			}
		}
	}
	for i := range int(duration / 1000) {
		image := "light"
		if i%3 == 0 {
			image = "heavy"
		}
		submitted[s.submitTo(lowQueue, 1000+i, fillingStep(image, tasksPerJob, length, true))] = s.clock.Now()
		for range 10 {
			s.runLoaded(100)
			observe()
		}
	}
	for range 200 {
		s.runLoaded(100)
		observe()
	}
	s.requireNoViolations()
	for id, at := range ended {
		r.meanDuration += (at - submitted[id]) / dotterclock.Millis(len(ended))
		if at-submitted[id] <= 2*length+1000 {
			r.inTime++
		}
	}
	r.jobs, r.done = len(submitted), len(ended)
	r.stops = s.board.Summary(s.clock.Now()).Endings[dotterrun.Stopped] - before
	r.over, r.longestOver, r.serving = s.totalOver, s.longestOver, s.totalServing
	return r
}

// TestWeighedStopsAreFew guards against stops that cost more than they gain, where a stop
// and its restart take longer than the run of a filling task: users' loads swing, and a third
// of the jobs interferes.
func TestWeighedStopsAreFew(t *testing.T) {
	tests := map[string]struct {
		tasksPerJob int
		length      dotterclock.Millis // run time of a task
	}{
		"filling tasks fit":            {tasksPerJob: 8, length: 1400},
		"filling tasks are backlogged": {tasksPerJob: 16, length: 1400},
		"long filling tasks":           {tasksPerJob: 4, length: 6000},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			off, on := swingingLoad(t, weighingSettings(false), tc.tasksPerJob, tc.length), swingingLoad(t, weighingSettings(true), tc.tasksPerJob, tc.length)
			t.Logf("off: %+v", off)
			t.Logf("on:  %+v", on)
			assert.LessOrEqual(t, 2*on.stops, off.stops)
			assert.LessOrEqual(t, on.over, off.over)
			assert.Less(t, on.longestOver, testSettings.MaxOverTarget)
			assert.GreaterOrEqual(t, on.inTime, off.inTime, "jobs must not pay for it")
		})
	}
}

// TestWeighedInterferenceIsShort checks that no serving task is over its target for
// MaxOverTarget beside filling tasks that work on, even if its users alone keep it there or
// the model does not know the effect of the tasks.
func TestWeighedInterferenceIsShort(t *testing.T) {
	tests := map[string]struct {
		factor      float64
		count       int
		checkpoints bool
		loadRise    float64 // rise of the serving tasks' own load after 3 s
	}{
		"with checkpoints":               {factor: 4, count: 8, checkpoints: true},
		"without checkpoints":            {factor: 4, count: 8},
		"many tasks of small effect":     {factor: 0.25, count: 16, checkpoints: true, loadRise: 0.2},
		"tasks without effect, users":    {factor: 0, count: 8, checkpoints: true, loadRise: 0.45},
		"tasks with an effect and users": {factor: 1, count: 8, loadRise: 0.45},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newLoadedShardWith(t, weighingSettings(true), 2, 0.45, map[string]float64{"heavy": tc.factor})
			s.pool.SetCosts(expensiveStops)
			s.submitTo(lowQueue, 1, fillingStep("heavy", tc.count, 30_000, tc.checkpoints))
			s.runLoaded(3000)
			s.ownLoad += tc.loadRise
			longest, beside := dotterclock.Millis(0), map[string]dotterclock.Millis{}
			for range 200 {
				s.runLoaded(100)
				for id := range s.pool.Running() {
					beside[id] += 100
					if s.overFor[id] == 0 || !s.hasWorkingFillingTask(id) {
						beside[id] = 0
					}
					longest = max(longest, beside[id])
				}
			}
			assert.Less(t, longest, testSettings.MaxOverTarget)
			s.requireNoViolations()
		})
	}
}

// hasWorkingFillingTask reports whether a filling task on the worker works at any pace.
func (s *loadedShard) hasWorkingFillingTask(worker string) bool {
	for _, t := range s.board.workers[worker].runs {
		if t.step.Fills && t.phase == running && t.pace > 0 && !t.stopping {
			return true
		}
	}
	return false
}

// TestSuccessorRestoresPace guards against runs that stay slow for good: workers do not list
// paces, so the successor of an owner that had slowed a run down does not know it.
func TestSuccessorRestoresPace(t *testing.T) {
	s := newLoadedShardWith(t, weighingSettings(true), 1, 0.3, map[string]float64{"light": 0})
	s.pool.SetCosts(expensiveStops)
	id := s.submitTo(lowQueue, 1, fillingStep("light", 1, 1400, true))
	task := s.board.find(dotterjob.TaskID{Job: id})
	s.until(2000, func() bool { return task.phase == running })
	s.board.mu.Lock()
	s.board.setPace(task.worker, task, 0)
	s.board.mu.Unlock()
	s.run(20)
	assert.Zero(t, task.pace)
	s.takeOver(0)
	s.runLoaded(1600)
	assert.Equal(t, dotterjob.Completed, s.state(id))
	assert.Equal(t, 1, s.pool.Starts(id))
	s.requireNoViolations()
}

// TestRaisedTaskIsNotStalled guards against a stop for missing progress of a run that had made
// none because its pace was 0.
func TestRaisedTaskIsNotStalled(t *testing.T) {
	s := newLoadedShardWith(t, weighingSettings(true), 1, 0.3, map[string]float64{"light": 0})
	s.pool.SetCosts(expensiveStops)
	id := s.submitTo(lowQueue, 1, fillingStep("light", 1, 60_000, true)) // makes 1% in 600 ms, and the pause between two listings is 100 ms
	task := s.board.find(dotterjob.TaskID{Job: id})
	s.until(2000, func() bool { return task.phase == running })
	s.runLoaded(800)                     // 1.3%
	const pause = 4 * dotterclock.Second // more than a run of this length may be without progress
	s.board.mu.Lock()
	s.board.setPace(task.worker, task, 0)
	task.worker.movedAt = s.clock.Now() + pause // no decision until then
	s.board.mu.Unlock()
	s.runLoaded(pause)
	assert.Zero(t, task.pace)
	s.until(3000, func() bool { return task.pace == 100 })
	s.runLoaded(1000)
	assert.False(t, task.stopping)
	assert.Equal(t, 1, s.pool.Starts(id))
	s.requireNoViolations()
}

// TestPaceIsRestoredWithoutServingTasks guards against runs that stay slow for good because the
// serving tasks beside them have left, and with them the readings.
func TestPaceIsRestoredWithoutServingTasks(t *testing.T) {
	for name, settings := range map[string]Settings{"by load": weighingSettings(false), "by cost": weighingSettings(true)} {
		t.Run(name, func(t *testing.T) {
			s := newLoadedShardWith(t, settings, 0, 0.3, map[string]float64{"light": 0})
			s.pool.SetCosts(expensiveStops)
			s.pool.Add(testWorker(0))
			s.run(300)
			serving := s.submit(1, servingStep("serving", 1))
			id := s.submitTo(lowQueue, 2, fillingStep("light", 1, 60_000, false))
			task := s.board.find(dotterjob.TaskID{Job: id})
			s.until(2000, func() bool { return task.phase == running && len(s.workersOf(serving)) == 1 })
			s.board.mu.Lock()
			s.board.setPace(task.worker, task, 10)
			s.board.mu.Unlock()
			s.board.Cancel(s.clock.Now(), serving, Cancellation{})
			s.run(200)
			assert.Equal(t, 10, task.pace)
			s.run(3000)
			assert.Equal(t, 100, task.pace)
			assert.Equal(t, 1, s.pool.Starts(id))
		})
	}
}
