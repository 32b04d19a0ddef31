package dotterboard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotteraccount"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// TestDecidedJobTellsHowItsTimeWasSpent guards against a late job of which the logs show
// nothing between its acceptance and its end.
func TestDecidedJobTellsHowItsTimeWasSpent(t *testing.T) {
	tests := map[string]struct {
		disturb func(s *shard, id dotterjob.ID) // after 300 ms, at which both tasks run
		check   func(t *testing.T, fields map[string]any)
	}{
		"runs through": {
			disturb: func(*shard, dotterjob.ID) {},
			check: func(t *testing.T, fields map[string]any) {
				assert.Equal(t, false, fields["Inherited"])
				assert.EqualValues(t, 2, fields["Runs"])
				assert.InDelta(t, 2000, fields["RunningMs"], 400, "task time of two tasks of a second")
				assert.NotContains(t, fields, "Stops")
				assert.NotContains(t, fields, "LostMs")
			},
		},
		"worker restarts": {
			disturb: func(s *shard, id dotterjob.ID) { s.pool.Restart(s.workersOf(id)[0]) },
			check: func(t *testing.T, fields map[string]any) {
				lost := fields["LostRuns"]
				assert.Contains(t, []any{int64(1), int64(2)}, lost, "one run or both were on the worker")
				assert.GreaterOrEqual(t, fields["LostMs"], int64(200))
				assert.Equal(t, 2, fields["Slowest"].(dotteraccount.Slowest).Runs)
			},
		},
		"stopped": {
			disturb: func(s *shard, id dotterjob.ID) {
				s.board.mu.Lock()
				defer s.board.mu.Unlock()
				s.board.stop(s.clock.Now(), s.board.find(dotterjob.TaskID{Job: id}), "the worker is slow")
			},
			check: func(t *testing.T, fields map[string]any) {
				stops, _ := fields["Stops"].([]dotteraccount.Stops)
				require.Len(t, stops, 1)
				assert.Equal(t, "the worker is slow", stops[0].Cause)
				assert.Equal(t, 1, stops[0].Runs)
				assert.InDelta(t, 300, int64(stops[0].Ms), 200)
			},
		},
		"owner replaced": {
			disturb: func(s *shard, _ dotterjob.ID) { s.takeOver(0) },
			check: func(t *testing.T, fields map[string]any) {
				assert.Equal(t, true, fields["Inherited"], "the line must say that the account is not whole")
				assert.InDelta(t, 300, fields["BeforeMs"], 100)
				assert.EqualValues(t, 2, fields["Runs"])
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newShard(t, 2)
			s.run(200)
			id := s.submit(1, tasks(2, 1000))
			s.run(300)
			require.Len(t, s.workersOf(id), 2)
			tc.disturb(s, id)
			core, logs := observer.New(zapcore.InfoLevel)
			s.board.logger = zap.New(core)
			s.until(5000, s.stateIs(id, dotterjob.Completed))
			lines := logs.FilterMessage("job decided").All()
			require.Len(t, lines, 1)
			fields := map[string]any{}
			for _, f := range lines[0].Context {
				if f.Interface != nil {
					fields[f.Key] = f.Interface
				} else {
					fields[f.Key] = lines[0].ContextMap()[f.Key]
				}
			}
			assert.LessOrEqual(t, fields["IdleMs"], fields["AfterMs"])
			assert.Contains(t, fields, "Slowest")
			tc.check(t, fields)
		})
	}
}

// TestAccountOfOpenTasks guards against an account of a failed or cancelled job that leaves out
// the tasks which were waiting when it was decided.
func TestAccountOfOpenTasks(t *testing.T) {
	s := newShard(t, 1)
	s.run(200)
	unplaceable := tasks(3, 1000)
	unplaceable.Label = "no worker has it"
	id := s.submit(1, tasks(1, 60_000), unplaceable)
	s.run(2000)
	core, logs := observer.New(zapcore.InfoLevel)
	s.board.logger = zap.New(core)
	s.board.Cancel(s.clock.Now(), id, Cancellation{})
	fields := logs.FilterMessage("job decided").All()[0].ContextMap()
	const elapsed = 2 * dotterclock.Second
	assert.InDelta(t, int64(elapsed), fields["RunningMs"], 200)
	assert.InDelta(t, int64(3*elapsed), fields["WaitingMs"], 200)
}
