package dotterboard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
)

// tenantWithCap returns a tenant that may have count of the tasks of tasks() running.
func tenantWithCap(name string, count int64) dotterqueues.Tenant {
	return dotterqueues.Tenant{Name: name, Weight: 10, Cap: dotterroom.Room{MilliCores: count * 4000, MemoryMB: count * 8000}}
}

// newTenantShard returns a shard with tenants.
func newTenantShard(t *testing.T, workers int, tenants ...dotterqueues.Tenant) *shard {
	s := newShard(t, workers)
	s.configureTenants(tenants...)
	s.run(200)
	return s
}

func (s *shard) configureTenants(tenants ...dotterqueues.Tenant) {
	s.tenants = tenants
	s.board.Configure(testDocument().WithTenants(tenants), map[string]bool{})
}

// submitAs accepts a job of the tenant.
func (s *shard) submitAs(tenant, queue string, number int, steps ...dotterjob.Step) dotterjob.ID {
	j := s.job(queue, number, 0, steps)
	j.Tenant = tenant
	s.pool.AddJob(j)
	return s.register(j, 0)
}

// watch runs for the duration and records what each tenant has running at the same time, at most.
func (s *shard) watch(duration dotterclock.Millis) {
	for end := s.clock.Now() + duration; s.clock.Now() < end; s.run(10) {
		s.recordUse()
	}
}

// recordUse updates mostUsed by what runs on the workers now, whatever the board knows of it.
func (s *shard) recordUse() {
	for tenant, used := range s.used() {
		s.mostUsed[tenant] = s.mostUsed[tenant].Max(used)
	}
}

// used returns the declared sizes of what runs on the workers now, by tenant.
func (s *shard) used() map[string]dotterroom.Room {
	jobs := map[dotterjob.ID]dotterjob.Job{}
	for _, j := range s.accepted {
		jobs[j.ID] = j
	}
	used := map[string]dotterroom.Room{}
	for _, runs := range s.pool.Running() {
		for _, r := range runs {
			j := jobs[r.Task.Job]
			used[j.Tenant] = used[j.Tenant].Add(j.Steps[r.Task.Step].Size)
		}
	}
	return used
}

// watchUntil runs until the condition holds, and fails the test if it does not within timeout.
func (s *shard) watchUntil(timeout dotterclock.Millis, condition func() bool) {
	s.t.Helper()
	s.until(timeout, func() bool {
		s.recordUse()
		return condition()
	})
}

// requireWithinCap requires that the tenant never had more running than its cap.
func (s *shard) requireWithinCap(tenant dotterqueues.Tenant) {
	s.t.Helper()
	most := s.mostUsed[tenant.Name]
	require.LessOrEqual(s.t, most.MilliCores, tenant.Cap.MilliCores, "tenant %s", tenant.Name)
	require.LessOrEqual(s.t, most.MemoryMB, tenant.Cap.MemoryMB, "tenant %s", tenant.Name)
}

// TestWideStepRunsInWaves guards against a wide step that exceeds the cap of its tenant, or that
// never ends because not all of its tasks fit under the cap.
func TestWideStepRunsInWaves(t *testing.T) {
	filling := fillingStep("image", 9, 300, true)
	filling.Size = dotterroom.Room{MilliCores: 4000, MemoryMB: 100}
	spread := tasks(9, 300)
	spread.PerWorker = 2
	tests := map[string]dotterjob.Step{"tasks": tasks(9, 300), "filling tasks": filling, "at most two on a worker": spread}
	for name, step := range tests {
		t.Run(name, func(t *testing.T) {
			north := tenantWithCap("north", 3)
			s := newTenantShard(t, 4, north)
			id := s.submitAs("north", testQueue, 1, step)
			s.watch(200)
			assert.Len(t, s.workersOf(id), 3)
			s.watchUntil(6000, s.stateIs(id, dotterjob.Completed))
			assert.Equal(t, 9, s.pool.Starts(id))
			s.requireWithinCap(north)
			s.requireNoViolations()
		})
	}
}

// TestCapBlocksNobodyElse guards against jobs that wait although there is room, because the cap
// of another tenant holds like jobs before them.
func TestCapBlocksNobodyElse(t *testing.T) {
	tests := map[string]dotterjob.Step{"tasks": tasks(4, 400), "filling tasks": fillingStep("image", 4, 400, true)}
	for name, step := range tests {
		t.Run(name, func(t *testing.T) {
			north, south := tenantWithCap("north", 2), tenantWithCap("south", 40)
			s := newTenantShard(t, 4, north, south)
			for i := range 50 {
				s.submitAs("north", testQueue, 1+i, step)
			}
			s.watch(200)
			others := []dotterjob.ID{
				s.submitAs("south", testQueue, 100, step),
				s.submitAs("south", lowQueue, 101, step),
				s.submitAs("", testQueue, 102, step),
			}
			s.watch(30)
			for _, id := range others {
				assert.Len(t, s.workersOf(id), 4, "job %s", id)
			}
			s.requireWithinCap(north)
			s.requireNoViolations()
		})
	}
}

// TestLargeRequestsGetTheirTurn guards against gangs and tasks that never find room under the
// cap, because smaller tasks of the same tenant take each gap.
func TestLargeRequestsGetTheirTurn(t *testing.T) {
	gang := tasks(3, 400)
	gang.Gang = true
	larger := tasks(1, 400)
	larger.Size = dotterroom.Room{MilliCores: 17_000, MemoryMB: 8000}
	wide := larger
	wide.Count = 2
	tests := map[string]struct {
		step  dotterjob.Step
		alone bool // nothing else of the tenant may run beside it
	}{
		"gang within the cap":               {step: gang},
		"task larger than the cap":          {step: larger, alone: true},
		"several tasks larger than the cap": {step: wide, alone: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			north := tenantWithCap("north", 4)
			s := newTenantShard(t, 4, north)
			number := 1
			feed := func() {
				s.submitAs("north", testQueue, number, tasks(1, 350)) // 3.5 of 4 at a time
				number++
			}
			for range 20 {
				feed()
				s.watch(100)
			}
			id := s.submitAs("north", testQueue, 1000, tc.step)
			s.until(8000, func() bool {
				feed()
				if running := len(s.workersOf(id)); running > 0 && tc.alone {
					require.Equal(t, tc.step.Size, s.used()["north"], "a task larger than the cap runs alone")
				} else {
					require.Contains(t, []int{0, tc.step.Count}, running)
					s.recordUse()
				}
				s.run(90)
				return s.state(id) == dotterjob.Completed
			})
			s.requireWithinCap(north)
			s.requireNoViolations()
		})
	}
}

// TestLongRunningTasksHoldNothingBack guards against a tenant whose small tasks wait for ever behind a
// large request, because long-running tasks keep the room under the cap that it needs.
func TestLongRunningTasksHoldNothingBack(t *testing.T) {
	gang := tasks(5, 400)
	gang.Gang = true
	larger := tasks(1, 400)
	larger.Size = dotterroom.Room{MilliCores: 45_000, MemoryMB: 8000}
	big := tasks(3, 400)
	big.Size = dotterroom.Room{MilliCores: 20_000, MemoryMB: 8000}
	tests := map[string]dotterjob.Step{"gang": gang, "task larger than the cap": larger, "large task": big}
	for name, step := range tests {
		t.Run(name, func(t *testing.T) {
			north := tenantWithCap("north", 10)
			s := newTenantShard(t, 4, north)
			lasting := tasks(6, 100)
			lasting.LongRunning = true
			serving := s.submitAs("north", testQueue, 1, lasting)
			s.watch(100)
			require.Len(t, s.workersOf(serving), 6)
			s.submitAs("north", testQueue, 2, step)
			for i := range 30 {
				id := s.submitAs("north", testQueue, 10+i, tasks(4, 100))
				s.watchUntil(1000, s.stateIs(id, dotterjob.Completed))
			}
			s.requireWithinCap(north)
			s.requireNoViolations()
		})
	}
}

// TestGangLargerThanCapFails guards against a gang that waits for ever, and against giving it up
// because of a cap that is raised again.
func TestGangLargerThanCapFails(t *testing.T) {
	gang := tasks(5, 400)
	gang.Gang = true
	useful := usefulFactor * dotterqueues.Queue{Stretch: 1.5, Target: 250}.Objective(400)
	tests := map[string]struct {
		raised bool
		want   dotterjob.State
	}{
		"the cap stays":     {want: dotterjob.Failed},
		"the cap is raised": {raised: true, want: dotterjob.Completed},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTenantShard(t, 4, tenantWithCap("north", 4))
			id := s.submitAs("north", testQueue, 1, gang)
			beside := s.submitAs("north", testQueue, 2, tasks(4, 400))
			s.watch(useful - 500)
			assert.Equal(t, dotterjob.Completed, s.state(beside), "what cannot start must not hold what can")
			assert.Equal(t, dotterjob.Queued, s.state(id))
			if tc.raised {
				s.configureTenants(tenantWithCap("north", 5))
			}
			s.watchUntil(2000, func() bool { return s.state(id).Final() })
			assert.Equal(t, tc.want, s.state(id))
			s.requireNoViolations()
		})
	}
}

// TestHalvedCap guards against runs that are stopped for a lowered cap, and against starts before
// enough of them have ended.
func TestHalvedCap(t *testing.T) {
	s := newTenantShard(t, 4, tenantWithCap("north", 8))
	first := s.submitAs("north", testQueue, 1, tasks(8, 1000))
	s.watch(100)
	require.Len(t, s.workersOf(first), 8)
	halved := tenantWithCap("north", 4)
	s.configureTenants(halved)
	second := s.submitAs("north", testQueue, 2, tasks(8, 300))
	s.watch(800)
	assert.Len(t, s.workersOf(first), 8, "a lowered cap stops nothing")
	assert.Empty(t, s.workersOf(second))
	s.watchUntil(2000, s.stateIs(first, dotterjob.Completed))
	s.mostUsed = map[string]dotterroom.Room{}
	s.watchUntil(4000, s.stateIs(second, dotterjob.Completed))
	assert.Equal(t, 8, s.pool.Starts(first))
	s.requireWithinCap(halved)
	s.requireNoViolations()
}

// TestEverythingThatMayRunCounts guards against a cap that is exceeded because a run is not
// counted: one whose start got no answer, that is being stopped, on a worker that does not
// answer, of a previous owner, or that no task is bound to.
func TestEverythingThatMayRunCounts(t *testing.T) {
	tests := map[string]struct {
		before, after func(s *shard) // around the start of the first job, of three tasks
		free          int            // tasks of the second job that may start soon
	}{
		"unanswered starts, carried out": {before: func(s *shard) { s.loseNextAnswers() }},
		"starts that arrive late": {
			before: func(s *shard) { s.pool.Delay("w00", 3); s.pool.Delay("w01", 3) },
			after:  func(s *shard) { s.run(100); s.pool.Deliver() },
		},
		"worker does not answer": {after: func(s *shard) { s.pool.SetUnreachable("w00", true); s.pool.SetUnreachable("w01", true) }},
		"owner replaced":         {after: func(s *shard) { s.takeOver(2000) }},
		"owner replaced, worker does not answer": {after: func(s *shard) {
			s.pool.SetUnreachable("w00", true)
			s.pool.SetUnreachable("w01", true)
			s.takeOver(2000)
		}},
		"cancelled, stop not carried out": {after: func(s *shard) {
			s.pool.Delay("w00", 100)
			s.pool.Delay("w01", 100)
			s.board.Cancel(s.clock.Now(), s.accepted[0].ID, Cancellation{})
		}},
		"runs without a binding": {after: func(s *shard) {
			delete(s.stored, s.accepted[0].ID) // as if the listing showed runs of which no record is known
			s.pool.Delay("w00", 100)           // the stops do not arrive
			s.pool.Delay("w01", 100)
			s.takeOver(0)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			north := tenantWithCap("north", 3)
			s := newTenantShard(t, 2, north)
			if tc.before != nil {
				tc.before(s)
			}
			first := s.submitAs("north", testQueue, 1, tasks(3, 20_000))
			s.watch(50)
			if tc.after != nil {
				tc.after(s)
			}
			s.watch(300)
			s.pool.Add(testWorker(2))
			second := s.submitAs("north", testQueue, 2, tasks(2, 500))
			s.watch(3000)
			assert.Equal(t, 3, s.pool.Starts(first))
			assert.Zero(t, s.pool.Starts(second), "the cap is used up by what may run")
			s.requireWithinCap(north)
		})
	}
}

// TestLostRunsFreeTheCap guards against a cap that stays used up by runs whose worker is gone.
func TestLostRunsFreeTheCap(t *testing.T) {
	north := tenantWithCap("north", 2)
	s := newTenantShard(t, 1, north)
	s.submitAs("north", testQueue, 1, tasks(2, 60_000))
	s.watch(100)
	s.pool.Add(testWorker(1))
	s.pool.SetUnreachable("w00", true)
	began := s.clock.Now()
	s.watchUntil(10_000, func() bool { return s.pool.Starts(s.accepted[0].ID) == 4 })
	assert.GreaterOrEqual(t, s.clock.Now()-began, testLease-100)
	s.requireWithinCap(north)
}

// TestUnknownRunOfLostWorkerFreesTheCap guards against a run that no task is bound to and that
// counts for ever, because its worker stays in the directory without answering.
func TestUnknownRunOfLostWorkerFreesTheCap(t *testing.T) {
	s := newTenantShard(t, 2, tenantWithCap("north", 1))
	id := s.submitAs("north", testQueue, 1, tasks(1, 500))
	w := s.board.workers["w00"]
	s.board.stopUnknownRun(w, dotterrun.Ref{Task: dotterjob.TaskID{Job: id}, Run: 7})
	s.pool.SetUnreachable("w00", true)
	s.watch(2000)
	assert.Zero(t, s.pool.Starts(id))
	s.watchUntil(10_000, s.stateIs(id, dotterjob.Completed))
}

// TestTenantSummary guards against figures that an operator cannot use to tell a tenant at its
// cap from one that waits for workers.
func TestTenantSummary(t *testing.T) {
	north, south := tenantWithCap("north", 2), tenantWithCap("south", 100)
	s := newTenantShard(t, 1, north, south, dotterqueues.Tenant{Name: "unused"})
	s.submitAs("north", testQueue, 1, tasks(5, 2000), tasks(1, 100))
	s.submitAs("south", testQueue, 2, tasks(30, 2000))
	s.submitAs("removed", lowQueue, 3, tasks(1, 2000))
	s.watch(100)
	size := func(count int64) dotterroom.Room { return tenantWithCap("", count).Cap }
	got := s.board.Tenants()
	require.Len(t, got, 4)
	assert.Equal(t, TenantSummary{Tenant: "north", Running: size(2), Cap: north.Cap, Waiting: 4, Held: 4, Allotment: 1, Weight: 10}, got[0], "the step that depends on the other is not ready")
	assert.Equal(t, "removed", got[1].Tenant)
	assert.Equal(t, "south", got[2].Tenant)
	assert.Zero(t, got[2].Held, "waits for workers")
	assert.Positive(t, got[2].Waiting)
	assert.Equal(t, TenantSummary{Tenant: "unused", Allotment: 1}, got[3])
	assert.Equal(t, 1, got[1].Beyond, "a tenant that is not configured has no rate")
}
