package dotterboard

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
)

// sinusoidalLoad returns a load that varies around priorLoad with the period.
func sinusoidalLoad(amplitude float64, period dotterclock.Millis) func(dotterclock.Millis) float64 {
	return func(at dotterclock.Millis) float64 {
		return priorLoad + amplitude*math.Sin(2*math.Pi*float64(at)/float64(period))
	}
}

// TestTrendPredictsUserLoad checks that the prediction for a second ahead is off by less
// than the margin between strictLoadLimit and the load at which the tail latency is at
// its target.
func TestTrendPredictsUserLoad(t *testing.T) {
	const headroom = 0.8 - strictLoadLimit // at a load of 0.8 the tail latency is at its target
	tests := map[string]struct {
		load  func(dotterclock.Millis) float64
		tasks int // tasks that report the load twice a second
	}{
		"steady":                    {load: sinusoidalLoad(0, 1), tasks: 4},
		"varies by half in 14 s":    {load: sinusoidalLoad(0.225, 14_000), tasks: 4},
		"varies by half in 20 s":    {load: sinusoidalLoad(0.225, 20_000), tasks: 8},
		"varies by half, two tasks": {load: sinusoidalLoad(0.225, 14_000), tasks: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var users trend
			worst := 0.0
			interval := readingInterval / dotterclock.Millis(tc.tasks)
			for at := dotterclock.Millis(1000); at < 60_000; at += interval {
				users.advance(at)
				reading := tc.load(at-readingLag) + 0.02*math.Sin(float64(at)) // error from the worker's rounding to milliseconds
				s := dotterinterference.Sample{At: at, Victim: "v", Slowdown: 1 + reading, SelfEffect: users.estimate()}
				users.correct(newLoadModel().model.Observe(s))
				if at > 5000 {
					worst = max(worst, math.Abs(users.predict(at+1000)-tc.load(at+1000)))
				}
			}
			assert.Less(t, worst, headroom)
		})
	}
}

// TestFillingTasksFollowUserLoad checks that filling tasks with strong interference are
// placed on workers whose serving tasks have few users at the moment, and leave before
// the users return. All tasks of a serving job share the load of its users, which varies
// by half within some seconds, at different times for different jobs.
func TestFillingTasksFollowUserLoad(t *testing.T) {
	const (
		workers  = 12
		duration = 40 * dotterclock.Second
	)
	s := newLoadedShard(t, 0, 0, map[string]float64{"heavy": 2.4, "light": 0.1})
	for i := range workers {
		s.pool.Add(testWorker(i))
	}
	s.run(300)
	var ids []dotterjob.ID
	for i := range workers / 3 {
		ids = append(ids, s.submit(100+i, servingStep("serving", 12)))
		s.run(100)
	}
	s.userLoad = func(id dotterjob.ID, at dotterclock.Millis) float64 {
		phase := dotterclock.Millis(slices.Index(ids, id)) * 14_000 / dotterclock.Millis(len(ids))
		return sinusoidalLoad(0.225, 14_000)(at + phase)
	}
	s.runLoaded(6000)
	s.totalOver, s.totalServing = 0, 0
	var work []dotterjob.ID
	for i := range int(duration / 1000) {
		step := fillingStep("light", 8, 1700, true)
		if i%2 == 0 {
			step = fillingStep("heavy", 4, 1700, true)
		}
		work = append(work, s.submitTo(lowQueue, 1000+i, step))
		s.runLoaded(1000)
	}
	s.runLoaded(8000)
	t.Logf("over their target: %d of %d ms", s.totalOver, s.totalServing)
	for _, id := range work {
		assert.Equal(t, dotterjob.Completed, s.state(id), "job %s", id)
	}
	// Time over the target costs a serving job four times as much as its run time is
	// worth; the total cost must stay below a hundredth of the jobs' value.
	assert.Less(t, 4*float64(s.totalOver), 0.01*float64(s.totalServing))
	assert.Less(t, s.longestOver, testSettings.MaxOverTarget)
	s.requireNoViolations()
}

// TestSuccessorRestoresInterferenceModel checks that after a takeover filling tasks do
// not push serving tasks over their targets again while the new owner learns their
// effects.
func TestSuccessorRestoresInterferenceModel(t *testing.T) {
	const workers, images = 8, 10
	factors := map[string]float64{}
	for i := range images {
		factors[fmt.Sprintf("heavy%d", i)] = 4
	}
	s := newLoadedShard(t, workers, 0.5, factors)
	s.submit(999, servingStep("serving", 3*workers)) // more load, since on a mostly idle pool starving jobs ignore the load limit
	s.runLoaded(300)
	work := func(from int) {
		s.totalOver, s.totalServing = 0, 0
		for i := range images {
			s.submitTo(lowQueue, from+i, fillingStep(fmt.Sprintf("heavy%d", i), 4, 1500, true))
			s.runLoaded(500)
		}
		s.runLoaded(10_000)
	}
	work(1)
	assert.Positive(t, s.totalOver, "the first owner had to learn")
	learned, err := s.board.Learned(s.clock.Now())
	require.NoError(t, err)
	s.learned = learned
	s.takeOver(0)
	s.runLoaded(1500)
	work(100)
	assert.Zero(t, s.totalOver, "of %d ms", s.totalServing)
	s.requireNoViolations()
}

func TestRestoreLearnedRejectsInvalidInput(t *testing.T) {
	b := newShard(t, 1).board
	assert.Error(t, b.RestoreLearned(1, []byte("no json")))
	assert.NoError(t, b.RestoreLearned(1, []byte(`[{"Victim":"v","Aggressor":"a","Mean":1,"Variance":-1},{"Aggressor":"a","Mean":2}]`)))
	learned, err := b.Learned(1)
	require.NoError(t, err)
	assert.JSONEq(t, "[]", string(learned))
}
