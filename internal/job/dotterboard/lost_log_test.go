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
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
)

const (
	waitsLine    = "lost long-running task still waits"
	restartsLine = "lost long-running task restarts"
	roomLine     = "room while long-running tasks wait"
	stepLine     = "step waits for a worker"
)

// sized returns the step with tasks of the given number of cores.
func sized(s dotterjob.Step, cores int64) dotterjob.Step {
	s.Size = dotterroom.Room{MilliCores: cores * 1000, MemoryMB: cores * 2000}
	return s
}

// observe returns the lines of level info and above that the shard's board logs from now on.
func (s *shard) observe() *observer.ObservedLogs {
	core, logs := observer.New(zapcore.InfoLevel)
	s.board.logger = zap.New(core)
	return logs
}

// newLosingShard returns a shard of three workers with 64 cores each. The first one runs a long-running task of 40
// cores, the others have 30 cores free each.
func newLosingShard(t *testing.T) (s *shard, lasting dotterjob.ID) {
	s = newShard(t, 3)
	s.run(200)
	lasting = s.submit(1, sized(lastingStep(1), 40))
	s.until(2000, func() bool { return len(s.workersOf(lasting)) == 1 })
	require.Equal(t, []string{"w00"}, s.workersOf(lasting))
	quick := s.submit(2, sized(tasks(2, 60_000), 34))
	s.until(2000, func() bool { return len(s.workersOf(quick)) == 2 })
	s.run(1000) // the runs are sound: none is suspected of the crash
	return s, lasting
}

// loseUntilLost crashes the worker of the task and runs until its run is lost.
func (s *shard) loseUntilLost(id dotterjob.ID) {
	s.t.Helper()
	lost := s.board.counters.Lost
	s.pool.Crash(s.workersOf(id)[0])
	s.until(10_000, func() bool { return s.board.counters.Lost > lost })
}

// TestWaitingStepLineTellsWhetherItLasts guards against a line on a waiting step from which nobody can tell
// whether its users miss a task that has run.
func TestWaitingStepLineTellsWhetherItLasts(t *testing.T) {
	tests := map[string]struct {
		prepare    func(s *shard, lasting dotterjob.ID)
		lasts      bool
		restarting bool
	}{
		"a quick step": {
			prepare: func(s *shard, _ dotterjob.ID) { s.submit(3, sized(tasks(1, 1000), 50)) },
		},
		"a long-running step of which nothing has run": {
			prepare: func(s *shard, _ dotterjob.ID) { s.submit(3, sized(lastingStep(1), 50)) },
			lasts:   true,
		},
		"a long-running step that has lost a task": {
			prepare: func(s *shard, lasting dotterjob.ID) { s.loseUntilLost(lasting) },
			lasts:   true, restarting: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, lasting := newLosingShard(t)
			logs := s.observe()
			tc.prepare(s, lasting)
			s.run(1500)
			lines := logs.FilterMessage(stepLine).All()
			require.NotEmpty(t, lines)
			fields := lines[len(lines)-1].ContextMap()
			assert.Equal(t, tc.lasts, fields["LongRunning"])
			assert.Equal(t, tc.restarting, fields["Restarting"])
			assert.GreaterOrEqual(t, fields["WaitedMs"], int64(400))
			assert.LessOrEqual(t, fields["WaitedMs"], int64(1500))
		})
	}
}

// TestLostTaskIsLogged guards against a long-running task that loses its run, waits for long, and is in no line
// until it runs again.
func TestLostTaskIsLogged(t *testing.T) {
	s, lasting := newLosingShard(t)
	logs := s.observe()
	s.loseUntilLost(lasting)
	s.run(lostLogDelay - 100)
	assert.Zero(t, logs.FilterMessage(waitsLine).Len(), "it has not waited for long")
	s.run(3000)
	lines := logs.FilterMessage(waitsLine).All()
	require.Len(t, lines, 1, "once a task and wait")
	assert.Equal(t, zapcore.WarnLevel, lines[0].Level)
	fields := lines[0].ContextMap()
	assert.Equal(t, string(lasting), fields["Job"])
	assert.Equal(t, firstTask(lasting).String(), fields["Task"])
	assert.EqualValues(t, 1, fields["Run"])
	assert.Equal(t, "40000m/80000MB/0a", fields["Size"])
	assert.InDelta(t, int64(lostLogDelay), fields["WaitedMs"], float64(lostCheckInterval))
	assert.Equal(t, map[string]int{"Room": 2}, fields["WorkersByObstacle"])
	assert.Equal(t, 60.0, fields["FreeOpen"])
	assert.Equal(t, 30.0, fields["Largest"])
	assert.Equal(t, 68.0, fields["Quick"])
	assert.EqualValues(t, 2, fields["Open"])
	assert.Equal(t, string(roomInPieces), fields["Verdict"])
	assert.Equal(t, false, fields["HeldByCap"])

	s.pool.Add(testWorker(7))
	s.until(2000, func() bool { return len(s.workersOf(lasting)) == 1 })
	s.run(200) // until the run is listed
	restarts := logs.FilterMessage(restartsLine).All()
	require.Len(t, restarts, 1)
	assert.Equal(t, zapcore.WarnLevel, restarts[0].Level)
	fields = restarts[0].ContextMap()
	assert.Equal(t, firstTask(lasting).String(), fields["Task"])
	assert.Equal(t, "w07", fields["Worker"])
	assert.GreaterOrEqual(t, fields["WaitedMs"], int64(lostLogDelay+2800))
	assert.Zero(t, s.board.find(firstTask(lasting)).lostAt)
}

// TestOtherWaitsAreNoLostTasks guards against lines on waits that users do not notice as the loss of a task.
func TestOtherWaitsAreNoLostTasks(t *testing.T) {
	tests := map[string]func(s *shard, lasting dotterjob.ID){
		"a task that never ran": func(s *shard, _ dotterjob.ID) { s.submit(3, sized(lastingStep(1), 50)) },
		"a gang that never ran": func(s *shard, _ dotterjob.ID) {
			gang := sized(lastingStep(3), 28)
			gang.Gang = true
			s.submit(3, gang)
		},
		"a quick task that was lost": func(s *shard, _ dotterjob.ID) {
			s.pool.SetDraining("w02", true)
			quick := s.submit(3, sized(tasks(1, 60_000), 24))
			s.until(2000, func() bool { return len(s.workersOf(quick)) == 1 })
			s.submit(4, sized(tasks(1, 60_000), 30))
			s.run(1000)
			s.pool.Restart(s.workersOf(quick)[0])
		},
		"a lost task that restarts at once": func(s *shard, lasting dotterjob.ID) {
			s.pool.Add(testWorker(7))
			s.loseUntilLost(lasting)
			s.until(2000, func() bool { return len(s.workersOf(lasting)) == 1 })
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			s, lasting := newLosingShard(t)
			logs := s.observe()
			prepare(s, lasting)
			s.run(2 * lostLogDelay)
			assert.Zero(t, logs.FilterMessage(waitsLine).Len())
			assert.Zero(t, logs.FilterMessage(restartsLine).Len())
		})
	}
}

// TestLostTaskIsLoggedAfterItMoved guards against lost tasks that a successor or another shard has, and that are in
// none of its lines.
func TestLostTaskIsLoggedAfterItMoved(t *testing.T) {
	t.Run("to a successor", func(t *testing.T) {
		s, lasting := newLosingShard(t)
		s.loseUntilLost(lasting)
		s.run(1000)
		s.takeOver(0)
		logs := s.observe()
		s.run(lostLogDelay + 2*lostCheckInterval)
		require.Equal(t, 1, logs.FilterMessage(waitsLine).Len())
	})
	t.Run("to another shard", func(t *testing.T) {
		s, _ := newLosingShard(t)
		logs := s.observe()
		j := s.job(testQueue, 9, 0, []dotterjob.Step{sized(lastingStep(2), 50)})
		s.pool.AddJob(j)
		moved := Transfer{Job: j, Record: Record{Begun: true, Steps: []StepRecord{{Tasks: []TaskRecord{{Index: 1, Run: 4}}}}}}
		s.board.Absorb(s.clock.Now(), 0, "key", moved)
		s.run(lostLogDelay + 2*lostCheckInterval)
		lines := logs.FilterMessage(waitsLine).All()
		require.Len(t, lines, 1, "the first task is not here")
		fields := lines[0].ContextMap()
		assert.EqualValues(t, 4, fields["Run"])
		assert.Equal(t, dotterjob.TaskID{Job: j.ID, Index: 1}.String(), fields["Task"])
	})
}

// TestLostTaskLineNamesRoomElsewhere guards against a line that does not tell which shards have room.
func TestLostTaskLineNamesRoomElsewhere(t *testing.T) {
	f := newFederation(t, map[string]int{"a": 1, "b": 3, "c": 1})
	lasting := f.submit("a", 1, sized(lastingStep(1), 40))
	f.until(2000, func() bool { return f.runningIn(lasting)["a"] == 1 })
	f.submit("c", 2, sized(tasks(1, 60_000), 60))
	f.run(1000)
	logs := f.shards["a"].observe()
	p := &plan{board: f.shards["a"].board, now: f.clock.Now()}
	p.logLostTask(f.shards["a"].board.find(firstTask(lasting)), heldRoom{}, 0)
	lines := logs.FilterMessage(waitsLine).All()
	require.Len(t, lines, 1)
	fields := lines[0].ContextMap()
	rooms, _ := fields["Peers"].([]peerRoom)
	require.Len(t, rooms, 2)
	assert.Equal(t, "b", rooms[0].Shard)
	assert.Equal(t, 3, rooms[0].Slots, "one on each worker")
	assert.Equal(t, "c", rooms[1].Shard)
	assert.Zero(t, rooms[1].Slots)
	assert.EqualValues(t, 0, fields["PeersOmitted"])
}

// TestLostTaskLinesAreBounded guards against a flood of lines when many tasks are lost at once, and against tasks
// that the bound leaves without a line.
func TestLostTaskLinesAreBounded(t *testing.T) {
	const lost = 50
	s := newShard(t, 13)
	s.run(200)
	lasting := s.submit(1, lastingStep(lost))
	s.until(9000, func() bool { return len(s.workersOf(lasting)) == lost })
	s.run(1000)
	logs := s.observe()
	for _, w := range s.board.Sessions() {
		s.pool.Crash(w.ID)
	}
	s.until(10_000, func() bool { return s.board.counters.Lost == lost })
	s.run(lostLogDelay + lostCheckInterval)
	lines := logs.FilterMessage(waitsLine).All()
	require.Len(t, lines, maxLostLines)
	assert.EqualValues(t, lost-maxLostLines, lines[maxLostLines-1].ContextMap()["LinesOmitted"])
	s.run(3 * lostLineInterval)
	logged := map[any]bool{}
	for _, l := range logs.FilterMessage(waitsLine).All() {
		logged[l.ContextMap()["Task"]] = true
	}
	assert.Len(t, logged, lost, "each has its line")
	assert.Equal(t, lost, logs.FilterMessage(waitsLine).Len(), "once")

	for i := range lost {
		task := s.board.find(dotterjob.TaskID{Job: lasting, Index: i})
		task.worker = newWorker(testWorker(0))
		s.board.noteRunsAgain(s.clock.Now(), task)
	}
	restarts := logs.FilterMessage(restartsLine).All()
	require.Len(t, restarts, maxLostLines)
	last := s.board.find(dotterjob.TaskID{Job: lasting})
	last.lostAt = s.clock.Now() - lostLogDelay
	last.worker = newWorker(testWorker(0))
	s.board.noteRunsAgain(s.clock.Now()+lostLineInterval, last)
	restarts = logs.FilterMessage(restartsLine).All()
	assert.EqualValues(t, lost-maxLostLines, restarts[len(restarts)-1].ContextMap()["LinesOmitted"])
	for i := range lost {
		s.board.find(dotterjob.TaskID{Job: lasting, Index: i}).worker = nil
	}
}

// TestRoomIsLoggedWhileLostTasksWait guards against waits of which the logs do not show whether the room is in
// pieces, on closed workers, held for what no worker has listed, or used up.
func TestRoomIsLoggedWhileLostTasksWait(t *testing.T) {
	tests := map[string]struct {
		prepare func(s *shard)
		want    map[string]any
	}{
		"pieces": {
			prepare: func(*shard) {},
			want: map[string]any{
				"Verdict": "Pieces", "Open": int64(2), "Free": 60.0, "FreeOpen": 60.0, "Largest": 30.0, "Quick": 68.0, "LongRunning": 0.0,
				"Lost": int64(1), "LargestSize": "40000m/80000MB/0a",
			},
		},
		"closed": {
			prepare: func(s *shard) {
				s.pool.Add(testWorker(7))
				s.pool.SetDraining("w07", true)
			},
			want: map[string]any{"Verdict": "Closed", "Free": 124.0, "FreeOpen": 60.0, "LargestClosed": 64.0},
		},
		"silent": {
			prepare: func(s *shard) {
				s.pool.Add(testWorker(7))
				s.pool.SetUnreachable("w07", true)
			},
			want: map[string]any{"Verdict": "Pieces", "Silent": int64(1), "Closed": int64(0), "Free": 60.0},
		},
		"full": {
			prepare: func(s *shard) {
				id := s.submit(3, sized(tasks(2, 60_000), 25))
				s.until(2000, func() bool { return len(s.workersOf(id)) == 2 })
				s.run(200)
			},
			want: map[string]any{"Verdict": "Full", "FreeOpen": 10.0, "Largest": 5.0, "Quick": 118.0},
		},
		"bound": {
			prepare: func(s *shard) {
				s.storeUp = false
				s.submit(3, sized(tasks(2, 60_000), 25))
			},
			want: map[string]any{"Verdict": "Unlisted", "FreeOpen": 10.0, "Quick": 68.0, "Bound": 50.0},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, lasting := newLosingShard(t)
			s.pool.Add(testWorker(8)) // keeps w00 from being the only one with room while the case is prepared
			s.pool.SetDraining("w08", true)
			s.run(200)
			s.pool.Crash("w08")
			s.run(4000) // until it is no longer listed
			s.loseUntilLost(lasting)
			s.run(100)
			tc.prepare(s)
			logs := s.observe()
			s.run(4000)
			lines := logs.FilterMessage(roomLine).All()
			require.GreaterOrEqual(t, len(lines), 4)
			assert.LessOrEqual(t, len(lines), 5, "once a second")
			fields := lines[len(lines)-1].ContextMap()
			for field, want := range tc.want {
				assert.Equal(t, want, fields[field], field)
			}
			assert.Equal(t, zapcore.WarnLevel, lines[len(lines)-1].Level)
			assert.GreaterOrEqual(t, fields["OldestMs"], int64(lostLogDelay))
		})
	}
	t.Run("nothing waits", func(t *testing.T) {
		s, _ := newLosingShard(t)
		logs := s.observe()
		s.submit(3, sized(lastingStep(1), 50))
		s.run(4000)
		assert.Zero(t, logs.FilterMessage(roomLine).Len())
	})
}

// TestVerdictOnRoom checks the verdict for a task of ten cores.
func TestVerdictOnRoom(t *testing.T) {
	const size = 10_000
	tests := map[string]struct {
		room heldRoom
		want verdict
	}{
		"an open worker has it":         {room: heldRoom{free: 10_000, largest: 10_000, largestClosed: 20_000}, want: roomInOnePiece},
		"a closed worker has it":        {room: heldRoom{free: 12_000, largest: 6000, freeClosed: 10_000, largestClosed: 10_000}, want: roomClosed},
		"several have parts":            {room: heldRoom{free: 10_000, largest: 9999, unknown: 10_000}, want: roomInPieces},
		"a start is not stored":         {room: heldRoom{free: 4000, largest: 4000, bound: 6000}, want: roomUnlisted},
		"a start is not listed":         {room: heldRoom{free: 4000, largest: 4000, ordered: 6000}, want: roomUnlisted},
		"a start got no answer":         {room: heldRoom{free: 4000, largest: 4000, uncertain: 6000}, want: roomUnlisted},
		"an earlier owner's start":      {room: heldRoom{free: 4000, largest: 4000, inherited: 6000}, want: roomUnlisted},
		"a run that nobody knows":       {room: heldRoom{free: 4000, largest: 4000, unknown: 6000}, want: roomUnlisted},
		"listed runs have it":           {room: heldRoom{free: 9000, largest: 4000, quick: 50_000, longRunning: 50_000, heldClosed: 50_000}, want: roomFull},
		"closed workers have it in two": {room: heldRoom{free: 1000, largest: 1000, freeClosed: 12_000, largestClosed: 6000}, want: roomFull},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tc.want, tc.room.verdict(size)) })
	}
}

// TestHeldRoomCountsEachRunOnce checks by whom the room of an open worker is held, by the phase of the run.
func TestHeldRoomCountsEachRunOnce(t *testing.T) {
	tests := map[string]struct {
		phase phase
		lasts bool
		want  heldRoom
	}{
		"quick":        {phase: running, want: heldRoom{quick: 13_000}},
		"long-running": {phase: running, lasts: true, want: heldRoom{longRunning: 13_000}},
		"bound":        {phase: bound, lasts: true, want: heldRoom{bound: 13_000}},
		"ordered":      {phase: ordered, want: heldRoom{ordered: 13_000}},
		"uncertain":    {phase: uncertain, lasts: true, want: heldRoom{uncertain: 13_000}},
		"inherited":    {phase: inherited, want: heldRoom{inherited: 13_000}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newShard(t, 1)
			s.run(200)
			step := lastingStep(1)
			step.LongRunning = tc.lasts
			if !tc.lasts {
				step.Estimate = 60_000
			}
			id := s.submit(1, step)
			s.until(2000, func() bool { return len(s.workersOf(id)) == 1 })
			s.board.find(firstTask(id)).phase = tc.phase
			tc.want.open, tc.want.free, tc.want.largest = 1, 51_000, 51_000
			assert.Equal(t, tc.want, s.board.heldRoom(s.clock.Now(), testService))
		})
	}
	t.Run("unknown", func(t *testing.T) {
		s := newShard(t, 1)
		s.run(200)
		id := s.submit(1, tasks(1, 1000))
		s.run(30)
		s.board.stopUnknownRun(s.board.workersByID[0], dotterrun.Ref{Task: firstTask(id), Run: 7})
		assert.EqualValues(t, 4000, s.board.heldRoom(s.clock.Now(), testService).unknown)
	})
}

// TestLostSinceLastRun checks since when a task counts as lost, by what became of its starts.
func TestLostSinceLastRun(t *testing.T) {
	const first, second = 5000, 7000
	tests := map[string]struct {
		lasts    bool
		before   dotterclock.Millis
		result   dotteraccount.Result
		want     dotterclock.Millis
		relogged bool
	}{
		"a quick task":                       {result: dotteraccount.Lost},
		"the first start is refused":         {lasts: true, result: dotteraccount.Dropped},
		"the run is lost":                    {lasts: true, result: dotteraccount.Lost, want: second},
		"a later start is refused":           {lasts: true, before: first, result: dotteraccount.Dropped, want: first},
		"a later start is lost":              {lasts: true, before: first, result: dotteraccount.Lost, want: first},
		"a run ended before it was listed":   {lasts: true, before: first, result: dotteraccount.Failed, want: second, relogged: true},
		"a run was stopped before it listed": {lasts: true, before: first, result: dotteraccount.Stopped, want: second, relogged: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			released := &task{step: &step{Step: dotterjob.Step{LongRunning: tc.lasts}}, lostAt: tc.before, lostLogged: true}
			released.noteReleased(second, tc.result)
			assert.Equal(t, tc.want, released.lostAt)
			if tc.before != 0 {
				assert.Equal(t, tc.relogged, !released.lostLogged)
			}
		})
	}
}

// TestSummaryCountsLostTasks guards against a gauge that misses tasks which wait after a loss, or counts others.
func TestSummaryCountsLostTasks(t *testing.T) {
	tests := map[string]struct {
		prepare func(s *shard, lasting dotterjob.ID)
		waiting int
		longest dotterclock.Millis
	}{
		"it runs":              {prepare: func(s *shard, _ dotterjob.ID) { s.run(2000) }},
		"another that is new":  {prepare: func(s *shard, _ dotterjob.ID) { s.submit(3, sized(lastingStep(1), 50)); s.run(2000) }},
		"lost two seconds ago": {prepare: func(s *shard, lasting dotterjob.ID) { s.loseUntilLost(lasting); s.run(2000) }, waiting: 1, longest: 2000},
		"its job was cancelled": {prepare: func(s *shard, lasting dotterjob.ID) {
			s.loseUntilLost(lasting)
			s.board.Cancel(s.clock.Now(), lasting, Cancellation{})
		}},
		"it runs again": {prepare: func(s *shard, lasting dotterjob.ID) {
			s.loseUntilLost(lasting)
			s.run(2000)
			s.pool.Add(testWorker(7))
			s.until(2000, func() bool { return len(s.workersOf(lasting)) == 1 })
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, lasting := newLosingShard(t)
			tc.prepare(s, lasting)
			summary := s.board.Summary(s.clock.Now())
			assert.Equal(t, tc.waiting, summary.LostWaiting)
			assert.InDelta(t, int64(tc.longest), int64(summary.LongestLost), 50)
		})
	}
}

// TestLostTaskLogDecidesNothing guards against a diagnosis that changes what the next plans see: a load that is
// computed earlier than without it.
func TestLostTaskLogDecidesNothing(t *testing.T) {
	tests := map[string]func(*worker){
		"no load is cached": func(w *worker) { w.load = nil },
		"a load is cached":  func(w *worker) { w.load = &workerLoad{worker: w, at: 5, used: 7} },
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			s, lasting := newLosingShard(t)
			before := map[string]*workerLoad{}
			p := &plan{board: s.board, now: s.clock.Now(), workers: map[string][]*worker{}}
			for _, w := range s.board.workersByID {
				prepare(w)
				before[w.ID] = w.load
				p.workers[testService] = append(p.workers[testService], w)
			}
			slopesAt, rankings := s.board.slopes.at, s.board.counters.Rankings
			p.logLostTask(s.board.find(firstTask(lasting)), s.board.heldRoom(p.now, testService), 0)
			for _, w := range s.board.workersByID {
				assert.Same(t, before[w.ID], w.load)
			}
			assert.Equal(t, slopesAt, s.board.slopes.at)
			assert.Equal(t, rankings, s.board.counters.Rankings)
		})
	}
}
