package dotterboard

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
)

// traffic submits jobs of tenants at given rates and notes which end by their objectives.
type traffic struct {
	*shard
	number   int
	due      map[dotterjob.ID]dotterclock.Millis // of open jobs
	tenantOf map[dotterjob.ID]string
	sent     map[string]int
	inTime   map[string]int
	draw     map[string]*rand.Rand // by tenant, so that what one sends does not change the others' jobs
}

func newTraffic(s *shard) *traffic {
	return &traffic{
		shard: s, due: map[dotterjob.ID]dotterclock.Millis{}, tenantOf: map[dotterjob.ID]string{},
		sent: map[string]int{}, inTime: map[string]int{}, draw: map[string]*rand.Rand{},
	}
}

// send submits a job of quick tasks.
func (f *traffic) send(tenant string, tasksOfJob int) {
	r := f.draw[tenant]
	f.number++
	step := tasks(tasksOfJob, dotterclock.Millis(500+r.IntN(500)))
	id := f.submitAs(tenant, testQueue, f.number, step)
	f.due[id] = f.clock.Now() + dotterqueues.Queue{Stretch: 1.5, Target: 250}.Objective(step.Estimate)
	f.tenantOf[id] = tenant
	f.sent[tenant]++
}

// play runs for the duration; rates are jobs per second by tenant, at random instants.
func (f *traffic) play(duration dotterclock.Millis, tasksOfJob func(tenant string) int, tenants []dotterqueues.Tenant, rate func(tenant string) float64) {
	for end := f.clock.Now() + duration; f.clock.Now() < end; f.run(10) {
		for _, t := range tenants {
			if f.draw[t.Name] == nil {
				f.draw[t.Name] = rand.New(rand.NewPCG(7, uint64(len(f.draw))))
			}
			if f.draw[t.Name].Float64() < rate(t.Name)*0.01 {
				f.send(t.Name, tasksOfJob(t.Name))
			}
		}
		f.settle()
	}
}

// settle counts the jobs that have ended.
func (f *traffic) settle() {
	for id, due := range f.due {
		state, _, ok := f.board.State(id)
		switch {
		case ok && !state.Final():
		case f.clock.Now() <= due:
			f.inTime[f.tenantOf[id]]++
			fallthrough
		default:
			delete(f.due, id)
		}
	}
}

// tenTasks is the number of tasks of a quick job of any tenant.
func tenTasks(string) int { return 10 }

// hotLoad is six tenants that use 70% of the workers' time, one of which sends more for a while.
type hotLoad struct {
	workers int
	usual   float64 // jobs per second of each tenant
	capped  bool    // each tenant to twice what it usually uses
}

// jobsInTime returns how many jobs the others sent and how many of these ended in time, with
// or without the hot tenant's burst.
func (l hotLoad) jobsInTime(t *testing.T, hot bool) (inTime, sent int) {
	const (
		hotFactor   = 7.5
		hotDuration = 6500 * dotterclock.Millisecond
	)
	var tenants []dotterqueues.Tenant
	for i := range 6 {
		tenant := dotterqueues.Tenant{Name: fmt.Sprintf("t%d", i), Weight: 1.5 * l.usual}
		if l.capped {
			tenant.Cap = tenantWithCap("", int64(15*l.usual)).Cap
		}
		tenants = append(tenants, tenant)
	}
	s := newTenantShard(t, l.workers, tenants...)
	f := newTraffic(s)
	rate := func(string) float64 { return l.usual }
	f.play(3000, tenTasks, tenants, rate)
	f.play(hotDuration, tenTasks, tenants, func(tenant string) float64 {
		if hot && tenant == "t0" {
			return hotFactor * l.usual
		}
		return l.usual
	})
	f.play(6000, tenTasks, tenants, rate)
	for range 300 {
		f.run(10)
		f.settle()
	}
	for _, tenant := range tenants[1:] {
		inTime, sent = inTime+f.inTime[tenant.Name], sent+f.sent[tenant.Name]
	}
	s.requireNoViolations()
	return inTime, sent
}

// requireOthersUnharmed requires that the others' jobs in time stay within 5% of the same run
// without the burst.
func (l hotLoad) requireOthersUnharmed(t *testing.T) {
	calm, sent := l.jobsInTime(t, false)
	hot, sentBeside := l.jobsInTime(t, true)
	t.Logf("of %d jobs of the others %d end in time without the burst, %d beside it", sent, calm, hot)
	require.Equal(t, sent, sentBeside, "the others must send the same jobs")
	require.Greater(t, calm, sent*9/10, "the load must be one that is served without the burst")
	assert.GreaterOrEqual(t, float64(hot), 0.95*float64(calm))
}

// TestHotTenant guards against a tenant that sends 7.5 times its usual load for 6.5 s at the
// expense of the others.
func TestHotTenant(t *testing.T) {
	tests := map[string]hotLoad{
		"without caps":           {workers: 24, usual: 6},
		"with caps":              {workers: 24, usual: 6, capped: true},
		"few workers, with caps": {workers: 8, usual: 2, capped: true},
	}
	for name, load := range tests {
		t.Run(name, func(t *testing.T) { load.requireOthersUnharmed(t) })
	}
}

// TestHotTenantOnFewWorkers guards against the same where a job of ten tasks takes a twelfth of all
// workers, which nothing keeps the hot tenant's jobs beyond its rate from filling.
func TestHotTenantOnFewWorkers(t *testing.T) {
	hotLoad{workers: 8, usual: 2}.requireOthersUnharmed(t)
}

// TestSharesByWeight guards against a tenant that gets more of full workers than its weight,
// because its queue is longer or was there first.
func TestSharesByWeight(t *testing.T) {
	north, south := dotterqueues.Tenant{Name: "north", Weight: 60}, dotterqueues.Tenant{Name: "south", Weight: 20}
	s := newTenantShard(t, 8, north, south)
	f := newTraffic(s)
	tenants := []dotterqueues.Tenant{south, north}
	rate := func(tenant string) float64 { // both within their rates, each more than all workers
		if tenant == "north" {
			return 56
		}
		return 19
	}
	tasksOf := func(tenant string) int { // both ask for as much
		if tenant == "north" {
			return 4
		}
		return 12
	}
	f.play(2000, tasksOf, tenants, rate)
	sums := map[string]int64{}
	for range 60 {
		f.play(100, tasksOf, tenants, rate)
		for name, used := range s.used() {
			sums[name] += used.MilliCores
		}
	}
	share := float64(sums["north"]) / float64(sums["north"]+sums["south"])
	t.Logf("share of north %.3f", share)
	assert.InDelta(t, 0.75, share, 0.05)
	s.requireNoViolations()
}

// TestRateSurvivesTakeover guards against a successor that gives a tenant a second burst.
func TestRateSurvivesTakeover(t *testing.T) {
	north := dotterqueues.Tenant{Name: "north", Weight: 5}
	s := newTenantShard(t, 1, north)
	var ids []dotterjob.ID
	for i := range 40 {
		ids = append(ids, s.submitAs("north", testQueue, 1+i, tasks(1, 30_000)))
		s.run(50)
	}
	beyond := func() []bool {
		s.run(50)
		var of []bool
		for _, id := range ids {
			of = append(of, s.board.jobs[id].arrival.Beyond)
		}
		return of
	}
	before := beyond()
	assert.Contains(t, before, true)
	assert.Contains(t, before, false)
	s.takeOver(0)
	assert.Equal(t, before, beyond())
}

// TestBeyondRateUsesFreeRoomOnly guards against jobs beyond the rate of their tenant that start
// before others of their rank, and against room that stays free although they wait.
func TestBeyondRateUsesFreeRoomOnly(t *testing.T) {
	north, south := dotterqueues.Tenant{Name: "north", Weight: 1}, dotterqueues.Tenant{Name: "south", Weight: 1}
	s := newTenantShard(t, 1, north, south)
	s.submitAs("north", testQueue, 1, wholeWorkers(1, 500))
	s.run(50)
	beyond := s.submitAs("north", testQueue, 2, wholeWorkers(1, 300))
	s.run(50)
	within := s.submitAs("south", testQueue, 3, wholeWorkers(1, 300))
	low := s.submitAs("south", lowQueue, 4, wholeWorkers(1, 300))
	s.until(1000, s.stateIs(within, dotterjob.Running))
	assert.Equal(t, dotterjob.Queued, s.state(beyond))
	s.until(1000, s.stateIs(beyond, dotterjob.Running))
	assert.Equal(t, dotterjob.Queued, s.state(low), "the rank goes before the rate")
	s.until(2000, s.stateIs(low, dotterjob.Completed))
	s.requireNoViolations()
}
