package dotterboard

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// backlog submits a job of the step in a shard whenever fewer than two of its jobs are open.
type backlog struct {
	home, tenant string
	step         dotterjob.Step
	ids          []dotterjob.ID
}

// fill submits jobs; number is that of the last one.
func (b *backlog) fill(f *federation, number *int) {
	open := 0
	for _, id := range b.ids[max(0, len(b.ids)-2):] {
		if f.state(id) != dotterjob.Completed {
			open++
		}
	}
	for ; open < 2; open++ {
		*number++
		b.ids = append(b.ids, f.submitAs(b.home, b.tenant, *number, b.step))
	}
}

// starts returns the number of starts of all its jobs.
func (b *backlog) starts(f *federation) int {
	n := 0
	for _, id := range b.ids {
		n += f.pool.Starts(id)
	}
	return n
}

// granted returns how many parts the shards have given; no owner may have been replaced.
func (f *federation) granted() int64 {
	n := int64(0)
	for _, s := range f.shards {
		n += int64(s.board.counters.Granted)
	}
	return n
}

// TestContendingShardsTakeTurns guards against a shard whose tasks wait for ever because others use what
// they need, and against parts of a cap that move all the time.
func TestContendingShardsTakeTurns(t *testing.T) {
	const window = 20 * dotterclock.Second
	// Each of the four shards gives at most once in grantInterval. In turns that are of use a part stays
	// for at least as long as a run of 0.5 s and what is published about it, 0.4 s old, take: half of that.
	const maxGrantRate = 2.0
	homes := []string{"a", "b", "c", "d"}
	gang := tasks(8, 500)
	gang.Gang = true
	larger := tasks(1, 500)
	larger.Size = dotterroom.Room{MilliCores: 14_000, MemoryMB: 8000}
	tests := map[string]struct {
		caps  []int64        // tasks, of one tenant each
		other dotterjob.Step // of shard b, if not the same as in all
	}{
		"three tasks at a time":                  {caps: []int64{3}},
		"one task at a time":                     {caps: []int64{1}},
		"several tenants":                        {caps: []int64{1, 2, 5, 7}},
		"a gang needs two thirds":                {caps: []int64{12}, other: gang},
		"a task is larger than the cap":          {caps: []int64{3}, other: larger},
		"a task needs most of the cap":           {caps: []int64{4}, other: larger},
		"a gang needs all, several tenants wait": {caps: []int64{8, 8}, other: gang},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var tenants []dotterqueues.Tenant
			var backlogs []*backlog
			for i, limit := range tc.caps {
				tenants = append(tenants, tenantWithCap(string(rune('p'+i)), limit))
				for _, home := range homes {
					step := tasks(4, 500)
					if home == "b" && tc.other.Count > 0 {
						step = tc.other
					}
					backlogs = append(backlogs, &backlog{home: home, tenant: tenants[i].Name, step: step})
				}
			}
			f := newTenantFederation(t, map[string]int{"a": 2, "b": 2, "c": 2, "d": 2}, tenants...)
			number, before := 0, make([]int, len(backlogs))
			for range 3 {
				granted := f.granted()
				for end := f.clock.Now() + window; f.clock.Now() < end; f.run(10) {
					for _, b := range backlogs {
						b.fill(f, &number)
					}
					used := f.used()
					for _, t := range tenants {
						f.requireAllotted(t.Name)
						if tc.other.Size != larger.Size {
							require.LessOrEqual(f.t, used[t.Name].MilliCores, t.Cap.MilliCores, "tenant %s", t.Name)
						}
					}
				}
				started := 0
				for i, b := range backlogs {
					starts := b.starts(f)
					assert.Greater(t, starts, before[i], "tasks of %s started in shard %s", b.tenant, b.home)
					started, before[i] = started+starts-before[i], starts
				}
				granted = f.granted() - granted
				t.Logf("%d starts, %.2f grants a second", started, float64(granted)/window.Seconds())
				assert.LessOrEqual(t, granted, int64(started), "a grant that no start follows")
				assert.LessOrEqual(t, float64(granted)/window.Seconds(), maxGrantRate*float64(len(tenants)), "grants a second")
			}
			f.requireNoViolations()
		})
	}
}

// TestClaimsUnderFaults guards against parts that exist twice, caps that are exceeded and claims that
// are not met any more, after owners were replaced and the store was down while shards contended.
func TestClaimsUnderFaults(t *testing.T) {
	homes := []string{"a", "b", "c", "d"}
	for seed := range uint64(6) {
		r := rand.New(rand.NewPCG(seed, 7))
		tenants := []dotterqueues.Tenant{tenantWithCap("north", 3), tenantWithCap("south", 1)}
		f := newTenantFederation(t, map[string]int{"a": 1, "b": 1, "c": 1, "d": 1}, tenants...)
		number := 0
		var ids []dotterjob.ID
		submit := func() {
			for _, tenant := range tenants {
				for _, home := range homes {
					if f.shards[home].storeUp {
						number++
						ids = append(ids, f.submitAs(home, tenant.Name, number, tasks(1+r.IntN(2), dotterclock.Millis(200+r.IntN(800)))))
					}
				}
			}
		}
		for i := range 60 {
			name := homes[r.IntN(4)]
			switch r.IntN(4) {
			case 0:
				f.shards[name].takeOver(dotterclock.Millis(r.IntN(2000)))
			case 1:
				f.shards[name].storeUp = !f.shards[name].storeUp
			case 2:
				f.out[name] = !f.out[name]
			}
			if i%10 == 0 {
				submit()
			}
			f.watch(dotterclock.Millis(50 + r.IntN(600)))
		}
		for _, name := range homes {
			f.shards[name].storeUp = true
			delete(f.out, name)
		}
		f.watch(1000)
		submit()
		f.until(300_000, func() bool {
			for _, id := range ids {
				if f.state(id) != dotterjob.Completed {
					return false
				}
			}
			return true
		})
		for _, tenant := range tenants {
			f.requireAllotted(tenant.Name)
		}
	}
}
