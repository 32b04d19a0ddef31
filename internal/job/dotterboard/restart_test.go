package dotterboard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// restartSettings returns testSettings with the switch.
func restartSettings(on bool) Settings {
	s := testSettings
	s.RestartServing = on
	return s
}

// TestLostServingTasksRestartFirst guards against serving tasks that wait behind quick tasks
// after their worker has restarted: on a full pool the quick ones take the room at once.
func TestLostServingTasksRestartFirst(t *testing.T) {
	const soon = 300 * dotterclock.Millisecond // until the next listing, the commit and the start
	tests := map[string]struct {
		on   bool
		want bool // whether all serve again soon
	}{
		"off": {on: false, want: false},
		"on":  {on: true, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newShardWith(t, restartSettings(tc.on), 2)
			s.run(200)
			id := s.submit(1, servingStep("serving", 4))
			s.until(2000, func() bool { return len(s.workersOf(id)) == 4 })
			for i := range 20 {
				s.submit(10+i, tasks(20, 3000))
			}
			s.run(1000) // the runs are sound: none is suspected of the restart
			s.pool.Restart(s.workersOf(id)[0])
			require.Less(t, len(s.workersOf(id)), 4)
			s.run(soon)
			assert.Equal(t, tc.want, len(s.workersOf(id)) == 4, "%d serve", len(s.workersOf(id)))
			s.requireNoViolations()
		})
	}
}

// TestLostServingTasksSpread guards against serving tasks that restart together on one worker,
// so that the next failure takes all of them again.
func TestLostServingTasksSpread(t *testing.T) {
	const workers = 7 // in three failure domains
	s := newShardWith(t, restartSettings(true), workers)
	s.run(200)
	id := s.submit(1, servingStep("serving", 8))
	s.until(2000, func() bool { return len(s.workersOf(id)) == 8 })
	lost := s.workersOf(id)[0]
	before := map[string]int{}
	for _, w := range s.workersOf(id) {
		before[w]++
	}
	require.Equal(t, 4, before[lost], "new serving tasks are packed")
	s.run(1000) // the runs are sound: none is suspected of the crash
	s.pool.Crash(lost)
	s.until(10_000, func() bool { return len(s.workersOf(id)) == 8 })
	after, domains := map[string]int{}, map[string]int{}
	for _, w := range s.workersOf(id) {
		after[w]++
		domains[s.board.workers[w].FailureDomain]++
	}
	for w, n := range after {
		if n > before[w] {
			assert.Equal(t, 1, n-before[w], "restarted on %s", w)
		}
	}
	for domain, n := range domains {
		assert.LessOrEqual(t, n, 4, "of eight tasks in failure domain %s, which had four before", domain)
	}
	s.requireNoViolations()
}

// TestLostServingTasksAvoidInterference guards against serving tasks that restart beside a
// filling task which pushes them over their target, because others of their step are there.
func TestLostServingTasksAvoidInterference(t *testing.T) {
	s := newLoadedShardWith(t, restartSettings(true), 0, 0.5, map[string]float64{"heavy": 4})
	for i := range 6 {
		s.pool.Add(testWorker(i))
	}
	s.run(300)
	id := s.submit(1, servingStep("serving", 6))
	s.until(2000, func() bool { return len(s.workersOf(id)) == 6 })
	require.Equal(t, []string{"w00", "w00", "w00", "w00", "w01", "w01"}, s.workersOf(id))
	s.run(1000) // the runs are sound: none is suspected of the crash
	step := fillingStep("heavy", 1, 60_000, true)
	step.Label = "r0" // w00 and w01
	heavy := s.submitTo(lowQueue, 2, step)
	s.until(2000, func() bool { return len(s.workersOf(heavy)) == 1 })
	require.Equal(t, []string{"w01"}, s.workersOf(heavy))
	require.NoError(t, s.board.RestoreLearned(s.clock.Now(), []byte(`[{"Victim":"serving","Aggressor":"heavy","Mean":4,"Variance":0.01}]`)))
	s.pool.Crash("w00")
	s.until(10_000, func() bool { return len(s.workersOf(id)) == 6 })
	beside := 0
	for _, w := range s.workersOf(id) {
		if w == "w01" {
			beside++
		}
	}
	assert.Equal(t, 2, beside, "none restarts there: %v", s.workersOf(id))
	s.requireNoViolations()
}

// TestNewServingTasksArePacked guards against spreading tasks that start for the first time:
// workers without serving tasks are left for filling tasks.
func TestNewServingTasksArePacked(t *testing.T) {
	s := newShardWith(t, restartSettings(true), 6)
	s.run(200)
	id := s.submit(1, servingStep("serving", 4))
	s.until(2000, func() bool { return len(s.workersOf(id)) == 4 })
	distinct := map[string]bool{}
	for _, w := range s.workersOf(id) {
		distinct[w] = true
	}
	assert.Len(t, distinct, 1)
	assert.Equal(t, dotterjob.Running, s.state(id))
}
