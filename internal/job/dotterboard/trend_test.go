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

// cycle returns a load that swings around usualLoad with the period.
func cycle(amplitude float64, period dotterclock.Millis) func(dotterclock.Millis) float64 {
	return func(at dotterclock.Millis) float64 {
		return usualLoad + amplitude*math.Sin(2*math.Pi*float64(at)/float64(period))
	}
}

// TestTrendFollowsUsers: what is expected a second ahead is right within the headroom
// that a worker keeps between the loads it accepts and a tail at its target.
func TestTrendFollowsUsers(t *testing.T) {
	const headroom = 0.8 - loadStrict // at a load of 0.8 a tail is at its target
	tests := map[string]struct {
		load  func(dotterclock.Millis) float64
		tasks int // that report the load, twice a second
	}{
		"steady":                    {load: cycle(0, 1), tasks: 4},
		"swings by half, 14 s":      {load: cycle(0.225, 14_000), tasks: 4},
		"swings by half, 20 s":      {load: cycle(0.225, 20_000), tasks: 8},
		"swings by half, two tasks": {load: cycle(0.225, 14_000), tasks: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var users trend
			worst := 0.0
			span := readingSpan / dotterclock.Millis(tc.tasks)
			for at := dotterclock.Millis(1000); at < 60_000; at += span {
				users.advance(at)
				reading := tc.load(at-readingLag) + 0.02*math.Sin(float64(at)) // rounded to milliseconds by the worker
				s := dotterinterference.Sample{At: at, Victim: "v", Slowdown: 1 + reading, Own: users.now()}
				users.correct(newLearned().model.Observe(s))
				if at > 5000 {
					worst = max(worst, math.Abs(users.ahead(at+1000)-tc.load(at+1000)))
				}
			}
			assert.Less(t, worst, headroom)
		})
	}
}

// TestUsersOfAStepAreSharedByItsTasks is the load of the users' serving jobs: all tasks
// of a job have its users' load, which swings by half within some seconds, and the jobs
// swing at different times. Filling work that presses hard must find the workers whose
// users are few just then, and leave them before they come back.
func TestUsersOfAStepAreSharedByItsTasks(t *testing.T) {
	const (
		workers = 12
		span    = 40 * dotterclock.Second
	)
	d := newDisturbed(t, 0, 0, map[string]float64{"heavy": 2.4, "light": 0.1})
	for i := range workers {
		d.pool.Add(testWorker(i))
	}
	d.run(300)
	var ids []dotterjob.ID
	for i := range workers / 3 {
		ids = append(ids, d.submit(100+i, servingOf("serving", 12)))
		d.run(100)
	}
	d.users = func(id dotterjob.ID, at dotterclock.Millis) float64 {
		phase := dotterclock.Millis(slices.Index(ids, id)) * 14_000 / dotterclock.Millis(len(ids))
		return cycle(0.225, 14_000)(at + phase)
	}
	d.pass(6000)
	d.harmed, d.served = 0, 0
	var work []dotterjob.ID
	for i := range int(span / 1000) {
		step := fillingOf("light", 8, 1700, true)
		if i%2 == 0 {
			step = fillingOf("heavy", 4, 1700, true)
		}
		work = append(work, d.submitTo(lowQueue, 1000+i, step))
		d.pass(1000)
	}
	d.pass(8000)
	t.Logf("over their target: %d of %d ms", d.harmed, d.served)
	for _, id := range work {
		assert.Equal(t, dotterjob.Completed, d.state(id), "job %s", id)
	}
	// Harm costs a serving job four times its span; all of it is to cost less than a
	// hundredth of what the jobs are worth.
	assert.Less(t, 4*float64(d.harmed), 0.01*float64(d.served))
	assert.Less(t, d.over, testSettings.HarmSpan)
	d.requireNoViolations()
}

// TestSuccessorKnowsWhatImagesDo: after a takeover filling work goes on without the
// harm of learning again what it does to serving tasks.
func TestSuccessorKnowsWhatImagesDo(t *testing.T) {
	const workers, images = 8, 10
	factors := map[string]float64{}
	for i := range images {
		factors[fmt.Sprintf("heavy%d", i)] = 4
	}
	d := newDisturbed(t, workers, 0.5, factors)
	d.submit(999, servingOf("serving", 3*workers)) // on a mostly idle pool no job may wait for long
	d.pass(300)
	work := func(from int) {
		d.harmed, d.served = 0, 0
		for i := range images {
			d.submitTo(lowQueue, from+i, fillingOf(fmt.Sprintf("heavy%d", i), 4, 1500, true))
			d.pass(500)
		}
		d.pass(10_000)
	}
	work(1)
	assert.Positive(t, d.harmed, "the first owner had to learn")
	learned, err := d.board.Learned(d.clock.Now())
	require.NoError(t, err)
	d.learned = learned
	d.takeOver(0)
	d.pass(1500)
	work(100)
	assert.Zero(t, d.harmed, "of %d ms", d.served)
	d.requireNoViolations()
}

func TestLearnedThatCantBeReadIsRefused(t *testing.T) {
	b := newShard(t, 1).board
	assert.Error(t, b.RestoreLearned(1, []byte("no json")))
	assert.NoError(t, b.RestoreLearned(1, []byte(`[{"Victim":"v","Aggressor":"a","Mean":1,"Variance":-1},{"Aggressor":"a","Mean":2}]`)))
	learned, err := b.Learned(1)
	require.NoError(t, err)
	assert.JSONEq(t, "[]", string(learned))
}
