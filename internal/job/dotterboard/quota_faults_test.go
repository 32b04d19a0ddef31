package dotterboard

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// TestTwentyTenantsAtTheirCaps guards against tenants that hold each other back although each has
// room under its cap, and against caps that are exceeded when many are reached at once.
func TestTwentyTenantsAtTheirCaps(t *testing.T) {
	var tenants []dotterqueues.Tenant
	for i := range 20 {
		tenants = append(tenants, tenantWithCap(fmt.Sprintf("t%02d", i), int64(2+i%5)))
	}
	s := newTenantShard(t, 6, tenants...) // room for 96 tasks, of which the caps admit 80
	number := 1
	for round := range 6 {
		for i, tenant := range tenants {
			step := tasks(6, dotterclock.Millis(300+100*(i%4)))
			if round%2 == 1 {
				step.LongRunning = i%7 == 0
			}
			s.submitAs(tenant.Name, []string{testQueue, lowQueue}[i%2], number, step)
			number++
		}
	}
	s.watch(150)
	for range 20 {
		s.watch(50)
		for _, tenant := range tenants {
			assert.Equal(t, tenant.Cap, s.board.quota.uses.Of(tenant.Name).Room, "an end that is listed is followed by a start in the next plan")
		}
	}
	public := s.submit(1000, tasks(16, 500))
	s.watch(100)
	assert.Len(t, s.workersOf(public), 16, "the room that the caps leave free")
	for _, tenant := range tenants {
		s.requireWithinCap(tenant)
		assert.Equal(t, tenant.Cap.MilliCores, s.mostUsed[tenant.Name].MilliCores)
	}
	s.requireNoViolations()
}

// sendLate sends the orders that a replaced owner has queued, as far as their bindings are stored.
func (s *shard) sendLate(previous *Board) {
	for _, w := range previous.Sessions() {
		for {
			o, ok := previous.NextOrder(s.clock.Now(), w.ID)
			if !ok {
				break
			}
			if o.Start != nil {
				a, err := s.pool.Start(context.Background(), o.Worker, *o.Start)
				previous.OrderAnswered(s.clock.Now(), o, a, err)
			}
		}
	}
}

// stopBeforeOrders runs until the owner has stored bindings whose orders it has not sent.
func (s *shard) stopBeforeOrders() {
	s.t.Helper()
	for range 300 {
		s.clock.Advance(10)
		for _, w := range s.board.Sessions() {
			s.renew(w)
		}
		s.board.Plan(s.clock.Now(), s.clock.Now())
		s.commit()
		if slices.ContainsFunc(s.board.workersByID, func(w *worker) bool { return len(w.orders) > 0 }) {
			return
		}
		s.tick()
		s.recordUse()
	}
	require.Fail(s.t, "no start was ordered")
}

// TestCapWhileOwnerIsReplaced guards against a cap that is exceeded because a successor does not know
// of a start that its predecessor has ordered, or still orders.
func TestCapWhileOwnerIsReplaced(t *testing.T) {
	tests := map[string]struct {
		window dotterclock.Millis // for which the previous owner may go on
		resume dotterclock.Millis // when it sends what it had queued; below 0: never
		silent bool               // a worker with runs does not answer meanwhile
	}{
		"killed":                              {resume: -1},
		"killed, worker silent":               {resume: -1, silent: true},
		"paused, resumes before the renewals": {window: 3000},
		"paused, resumes after the renewals":  {window: 3000, resume: 300},
		"paused for long":                     {window: 3000, resume: 4000},
		"paused, worker silent":               {window: 3000, resume: 300, silent: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			north := tenantWithCap("north", 6)
			s := newTenantShard(t, 3, north)
			for i := range 120 {
				s.submitAs("north", testQueue, 1+i, tasks(4, dotterclock.Millis(300+70*(i%5))))
			}
			s.watch(300)
			for round := range 5 {
				// The owner stops between the commit of bindings and their orders.
				s.stopBeforeOrders()
				previous, id := s.board, testWorker(round%3).ID
				s.pool.SetUnreachable(id, tc.silent)
				s.takeOver(tc.window)
				if tc.resume == 0 {
					s.sendLate(previous)
				}
				s.watch(max(0, tc.resume))
				if tc.resume > 0 {
					s.sendLate(previous)
				}
				s.watch(1000)
				s.pool.SetUnreachable(id, false)
				s.watch(700)
			}
			s.requireWithinCap(north)
			assert.Equal(t, north.Cap.MilliCores, s.mostUsed["north"].MilliCores, "the cap must have been reached")
			s.requireNoViolations()
		})
	}
}

// TestCapUnderFaults guards against a cap that is exceeded by any sequence of owners that are
// replaced, workers that crash or do not answer, orders that arrive late, an unavailable store and
// jobs that are cancelled.
func TestCapUnderFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 11))
			north, south := tenantWithCap("north", 6), tenantWithCap("south", 3)
			s := newTenantShard(t, 4, north, south)
			s.pool.ReturnAfter(1500)
			var ids []dotterjob.ID
			worker := func() string { return testWorker(r.IntN(4)).ID }
			actions := []func(){
				func() { s.takeOver(dotterclock.Millis(r.IntN(3000))) },
				func() { s.pool.LoseAnswers(worker(), 2) },
				func() { s.pool.Delay(worker(), 2) },
				func() { s.pool.Deliver() },
				func() { s.pool.SetUnreachable(worker(), r.IntN(2) == 0) },
				func() { s.pool.Restart(worker()) },
				func() { s.storeUp = !s.storeUp },
				func() {
					if len(ids) > 0 {
						s.board.Cancel(s.clock.Now(), ids[r.IntN(len(ids))], Cancellation{})
					}
				},
			}
			for range 80 {
				if r.IntN(2) == 0 {
					actions[r.IntN(len(actions))]()
				}
				step := tasks(1+r.IntN(5), dotterclock.Millis(200+r.IntN(2000)))
				step.Gang = r.IntN(5) == 0 && step.Count <= 3
				ids = append(ids, s.submitAs([]string{"north", "south"}[r.IntN(2)], testQueue, 1+len(ids), step))
				s.watch(dotterclock.Millis(10 * r.IntN(40)))
			}
			s.requireWithinCap(north)
			s.requireWithinCap(south)
		})
	}
}

// TestHalvedCapInSeveralShards guards against shards that each start tasks before the runs of all
// together are below a lowered cap.
func TestHalvedCapInSeveralShards(t *testing.T) {
	full, halved := tenantWithCap("north", 12), tenantWithCap("north", 6)
	f := newTenantFederation(t, map[string]int{"a": 2, "b": 2, "c": 2}, full)
	number := 1
	for range 6 {
		for _, home := range f.names {
			f.submitAs(home, "north", number, tasks(4, 1000))
			number++
		}
	}
	f.watch(2500)
	before := f.used()["north"]
	require.Greater(t, before.MilliCores, halved.Cap.MilliCores)
	f.configureTenants(halved)
	limit := before
	for end := f.clock.Now() + 6000; f.clock.Now() < end; f.run(10) {
		used := f.used()["north"]
		require.LessOrEqual(t, used.MilliCores, max(limit.MilliCores, halved.Cap.MilliCores), "nothing starts until use is below")
		limit = used
	}
	assert.Equal(t, dotterroom.Room{}, dotterroom.Room{}.Max(limit.Sub(halved.Cap)))
	f.requireNoViolations()
}
