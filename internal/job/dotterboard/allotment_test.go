package dotterboard

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterquota"
)

// newTenantFederation returns shards with tenants.
func newTenantFederation(t *testing.T, workers map[string]int, tenants ...dotterqueues.Tenant) *federation {
	f := newFederation(t, workers)
	f.configureTenants(tenants...)
	f.run(500)
	return f
}

func (f *federation) configureTenants(tenants ...dotterqueues.Tenant) {
	f.tenants = tenants
	for _, s := range f.shards {
		s.tenants = tenants
		s.board.Configure(testDocument().WithTenants(tenants), f.out)
	}
}

func (f *federation) submitAs(home, tenant string, number int, steps ...dotterjob.Step) dotterjob.ID {
	id := f.shards[home].submitAs(tenant, testQueue, number, steps...)
	f.homes[id] = home
	return id
}

// used returns the declared sizes of what runs on all workers now, by tenant.
func (f *federation) used() map[string]dotterroom.Room {
	all := &shard{pool: f.pool}
	for _, s := range f.shards {
		all.accepted = append(all.accepted, s.accepted...)
	}
	return all.used()
}

// requireAllotted requires that the stored parts of the tenant's cap and the grants on their way are
// the whole together, and returns the parts.
func (f *federation) requireAllotted(tenant string) map[string]dotterquota.Part {
	f.t.Helper()
	parts, sum := map[string]dotterquota.Part{}, dotterquota.Part(0)
	for i, name := range f.names {
		stored := map[string]dotterquota.Part{}
		if value := f.shards[name].allotments; value != nil {
			require.NoError(f.t, json.Unmarshal(value, &stored))
		}
		part, ok := stored[tenant]
		if !ok {
			part = dotterquota.Equal(i, len(f.names))
		}
		parts[name] = part
		sum += part
		for _, g := range f.grants[name] {
			sum += g.Parts[tenant]
		}
	}
	require.Equal(f.t, dotterquota.Whole, sum, "parts of the cap of %s: %v, grants %v", tenant, parts, f.grants)
	return parts
}

// watch runs for the duration and requires that each tenant stays within its cap at any time.
func (f *federation) watch(duration dotterclock.Millis) {
	f.t.Helper()
	for end := f.clock.Now() + duration; f.clock.Now() < end; f.run(10) {
		used := f.used()
		for _, t := range f.tenants {
			f.requireAllotted(t.Name)
			require.LessOrEqual(f.t, used[t.Name].MilliCores, t.Cap.MilliCores, "tenant %s", t.Name)
		}
	}
}

// TestAllotmentsFollowNeed guards against a tenant that cannot use its cap, because its tasks wait
// in one shard and the parts of the others are unused.
func TestAllotmentsFollowNeed(t *testing.T) {
	larger := tasks(1, 2000)
	larger.Size = dotterroom.Room{MilliCores: 50_000, MemoryMB: 8000}
	gang := tasks(12, 2000)
	gang.Gang = true
	tests := map[string]struct {
		step dotterjob.Step
		want int // tasks that run together
	}{
		"wide step":                {step: tasks(40, 4000), want: 12},
		"gang as large as the cap": {step: gang, want: 12},
		"task larger than the cap": {step: larger, want: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			north := tenantWithCap("north", 12)
			f := newTenantFederation(t, map[string]int{"a": 3, "b": 3, "c": 3}, north)
			id := f.submitAs("b", "north", 1, tc.step)
			f.until(5000, func() bool {
				if used := f.used()["north"]; tc.want > 1 {
					require.LessOrEqual(t, used.MilliCores, north.Cap.MilliCores)
				}
				f.requireAllotted("north")
				return f.runningIn(id)["b"] == tc.want
			})
			f.requireNoViolations()
		})
	}
}

// TestNeedIsBalanced guards against a shard that keeps most of a cap as long as it has a backlog,
// while the tenant's tasks wait in another one.
func TestNeedIsBalanced(t *testing.T) {
	north := tenantWithCap("north", 20)
	f := newTenantFederation(t, map[string]int{"a": 3, "b": 3}, north)
	number := 1
	backlog := func(home string) {
		f.submitAs(home, "north", number, tasks(20, 500))
		number++
	}
	for range 10 {
		backlog("a")
	}
	f.watch(4000)
	require.Greater(t, f.requireAllotted("north")["a"], 9*dotterquota.Whole/10)
	for range 30 {
		backlog("a")
		backlog("b")
	}
	f.watch(8000)
	parts := f.requireAllotted("north")
	assert.InDelta(t, 0.5, parts["b"].Fraction(), 0.1)
	f.requireNoViolations()
}

// TestShardApartKeepsItsPart guards against a cap that is exceeded because the others use the part
// of a failure domain that is cut off, and against a domain that starts nothing within its part.
func TestShardApartKeepsItsPart(t *testing.T) {
	tests := map[string]struct {
		cut    func(f *federation)
		starts bool // the shard can start tasks while it is cut off
	}{
		"its owner has the store only": {cut: func(f *federation) { f.apart = true }, starts: true},
		"cut off from the store":       {cut: func(f *federation) { f.shards["b"].storeUp = false; f.out["b"] = true }},
		"without an owner":             {cut: func(f *federation) { f.down["b"] = true }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			north := tenantWithCap("north", 12)
			f := newTenantFederation(t, map[string]int{"a": 3, "b": 3, "c": 3}, north)
			first := f.submitAs("b", "north", 1, tasks(2, 3000))
			f.watch(500)
			before := f.requireAllotted("north")["b"]
			tc.cut(f)
			f.watch(2500) // what was published before is too old then
			f.submitAs("a", "north", 2, tasks(40, 2000))
			second := f.submitAs("b", "north", 3, tasks(8, 1000))
			f.watch(2000)
			assert.Equal(t, before, f.requireAllotted("north")["b"])
			if tc.starts {
				assert.Len(t, f.shards["b"].workersOf(second), 4, "a third of the cap")
			} else {
				assert.Empty(t, f.shards["b"].workersOf(second))
			}
			f.apart, f.down["b"], f.shards["b"].storeUp = false, false, true
			delete(f.out, "b")
			f.watch(1000)
			f.until(20_000, func() bool {
				return f.state(first) == dotterjob.Completed && f.state(second) == dotterjob.Completed
			})
			f.requireNoViolations()
		})
	}
}

// TestAllotmentsUnderFaults guards against parts that exist twice, and caps that are exceeded, when
// owners are replaced, the store is down and workers do not answer while parts move.
func TestAllotmentsUnderFaults(t *testing.T) {
	for seed := range uint64(6) {
		r := rand.New(rand.NewPCG(seed, 5))
		tenants := []dotterqueues.Tenant{tenantWithCap("north", 12), tenantWithCap("south", 7)}
		f := newTenantFederation(t, map[string]int{"a": 2, "b": 2, "c": 2}, tenants...)
		number := 1
		for range 60 {
			name := f.names[r.IntN(3)]
			s := f.shards[name]
			switch r.IntN(6) {
			case 0:
				if !f.down[name] {
					s.takeOver(dotterclock.Millis(r.IntN(2000)))
				}
			case 1:
				s.storeUp = !s.storeUp
			case 2:
				f.pool.SetUnreachable(f.worker(name, r.IntN(2)), r.IntN(3) == 0)
			default:
				if s.storeUp {
					f.submitAs(name, tenants[r.IntN(2)].Name, number, tasks(1+r.IntN(12), dotterclock.Millis(200+r.IntN(1500))))
					number++
				}
			}
			f.watch(dotterclock.Millis(50 + r.IntN(300)))
		}
	}
}

// TestOldNeedIsNotServed guards against parts that are given by what an owner published before it
// was cut off.
func TestOldNeedIsNotServed(t *testing.T) {
	f := newTenantFederation(t, map[string]int{"a": 1, "b": 1}, tenantWithCap("north", 12))
	f.submitAs("b", "north", 1, tasks(40, 60_000))
	f.run(100)
	now := f.clock.Now()
	peer := Peer{Shard: "b", Vacancy: f.shards["b"].board.Vacancy(now, now), SeenAt: now - maxStandingAge - 1}
	require.Positive(t, peer.Vacancy.Tenants["north"].Need)
	a := f.shards["a"]
	a.board.SetPeers([]Peer{peer})
	a.board.Plan(now, now)
	assert.False(t, a.board.Dirty())
	peer.SeenAt = now
	a.board.SetPeers([]Peer{peer})
	a.board.Plan(now, now)
	assert.True(t, a.board.Dirty())
}

// TestUnusableAllotments guards against a shard that takes an equal part because it cannot read its
// own, which others may have by now.
func TestUnusableAllotments(t *testing.T) {
	for name, stored := range map[string]string{"no JSON": "{", "below 0": `{"north":-1}`, "above the whole": `{"north":5040001}`} {
		t.Run(name, func(t *testing.T) {
			f := newTenantFederation(t, map[string]int{"a": 1, "b": 1}, tenantWithCap("north", 12))
			a := f.shards["a"]
			require.Error(t, a.board.RestoreAllotments([]byte(stored)))
			a.board.AbsorbGrant("key", Grant{Parts: map[string]dotterquota.Part{"north": 5}})
			capped := f.submitAs("a", "north", 1, tasks(2, 500))
			other := f.submitAs("a", "", 2, tasks(2, 500))
			f.run(1000)
			assert.Zero(t, f.pool.Starts(capped))
			assert.Equal(t, dotterjob.Completed, f.state(other))
		})
	}
}

// TestGrantIsAppliedOnce guards against a part that is added again by a listing of the store that is
// older than the commit that deleted its grant.
func TestGrantIsAppliedOnce(t *testing.T) {
	f := newTenantFederation(t, map[string]int{"a": 1, "b": 1}, tenantWithCap("north", 12))
	a := f.shards["a"]
	g := Grant{Parts: map[string]dotterquota.Part{"north": 1000}}
	a.board.AbsorbGrant("key", g)
	a.board.AbsorbGrant("key", g)
	batch, err := a.board.Batch(30)
	require.NoError(t, err)
	assert.JSONEq(t, `{"north":2521000}`, string(batch.Allotments))
	assert.True(t, slices.Equal([]string{"key"}, batch.Absorbed))
	a.board.HandleCommitted(f.clock.Now(), batch)
	a.board.AbsorbGrant("key", g)
	assert.False(t, a.board.Dirty())
}

// TestContendingShardsMakeProgress guards against shards that all need more of a tenant's cap than
// their parts, so that none gives anything away and nothing ever runs.
func TestContendingShardsMakeProgress(t *testing.T) {
	f := newTenantFederation(t, map[string]int{"a": 1, "b": 1, "c": 1, "d": 1}, tenantWithCap("north", 3))
	var ids []dotterjob.ID
	for i, home := range []string{"a", "b", "c", "d"} {
		ids = append(ids, f.submitAs(home, "north", 1+i, tasks(8, 500)))
	}
	f.run(60_000)
	for _, id := range ids {
		assert.Equal(t, dotterjob.Completed, f.state(id), "job %s", id)
	}
	f.requireNoViolations()
}
