package dotteradmission

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottervacancy"
)

var (
	plainTasks   = Tasks{Service: "pool"}
	fillingTasks = Tasks{Service: "pool", Fills: true, Image: "light"}
	heavyTasks   = Tasks{Service: "pool", Fills: true, Image: "heavy"}
	tenantTasks  = Tasks{Service: "pool", Tenant: "north"}
)

func backlogOf(t Tasks, waited dotterclock.Millis) Waiting {
	return Waiting{Tasks: t, Slack: 2000, Left: 5000, Waited: waited, Work: 100_000}
}

// TestMeter guards against an outlook that leads to refusals although nothing shows that the
// workers cannot do more: without a backlog, or before or while nothing can be measured.
func TestMeter(t *testing.T) {
	north := laneKey{tenant: "north"}
	pool, filling := laneKey{service: "pool"}, laneKey{service: "pool", fills: true}
	tests := map[string]struct {
		waiting  []Waiting
		done     map[Tasks]int64 // per second
		progress int64           // per second, of plainTasks
		capped   map[string]dotterroom.Room
		seconds  int
		every    dotterclock.Millis // 0: 200 ms
		adopted  map[laneKey]int64
		want     map[laneKey]int64 // drains
		queued   int64             // work in all lanes
	}{
		"no backlog":                 {done: map[Tasks]int64{plainTasks: 50_000}, seconds: 10},
		"tasks that wait for a plan": {waiting: []Waiting{backlogOf(plainTasks, 100)}, done: map[Tasks]int64{plainTasks: 50_000}, seconds: 10},
		"a backlog that has begun":   {waiting: []Waiting{backlogOf(plainTasks, 900)}, done: map[Tasks]int64{plainTasks: 50_000}, seconds: 2},
		"a backlog":                  {waiting: []Waiting{backlogOf(plainTasks, 900)}, done: map[Tasks]int64{plainTasks: 50_000}, seconds: 8, want: map[laneKey]int64{pool: 50_000}, queued: 100_000},
		"nothing ends yet":           {waiting: []Waiting{backlogOf(plainTasks, 900)}, progress: 30_000, seconds: 8, want: map[laneKey]int64{pool: 30_000}, queued: 100_000},
		"nothing moves":              {waiting: []Waiting{backlogOf(plainTasks, 900)}, seconds: 8},
		"the store does not answer":  {waiting: []Waiting{backlogOf(plainTasks, 900)}, done: map[Tasks]int64{plainTasks: 50_000}, seconds: 12, every: 1500},
		"expired jobs are not ahead": {
			waiting: []Waiting{backlogOf(plainTasks, 900), {Tasks: plainTasks, Waited: 90_000, Work: 1e9}}, done: map[Tasks]int64{plainTasks: 50_000},
			seconds: 8, want: map[laneKey]int64{pool: 50_000}, queued: 100_000,
		},
		"other tasks may leave their processor time to filling ones": {
			waiting: []Waiting{backlogOf(fillingTasks, 900)}, done: map[Tasks]int64{fillingTasks: 20_000, plainTasks: 50_000},
			seconds: 8, want: map[laneKey]int64{filling: 70_000}, queued: 100_000,
		},
		"an image that finds no worker is not ahead of others": {
			waiting: []Waiting{backlogOf(fillingTasks, 900), backlogOf(heavyTasks, 900)}, done: map[Tasks]int64{fillingTasks: 20_000, heavyTasks: 1000},
			seconds: 8, want: map[laneKey]int64{filling: 21_000}, queued: 100_000,
		},
		"images that share the workers": {
			waiting: []Waiting{backlogOf(fillingTasks, 900), backlogOf(heavyTasks, 900)}, done: map[Tasks]int64{fillingTasks: 20_000, heavyTasks: 12_000},
			seconds: 8, want: map[laneKey]int64{filling: 32_000}, queued: 200_000,
		},
		"a tenant below its cap": {
			waiting: []Waiting{backlogOf(tenantTasks, 900)}, done: map[Tasks]int64{tenantTasks: 5000, plainTasks: 45_000},
			seconds: 8, want: map[laneKey]int64{pool: 50_000}, queued: 100_000,
		},
		"a tenant at its cap": {
			waiting: []Waiting{backlogOf(tenantTasks, 900)}, done: map[Tasks]int64{tenantTasks: 5000, plainTasks: 45_000}, capped: map[string]dotterroom.Room{"north": {MilliCores: 8000}},
			seconds: 8, want: map[laneKey]int64{pool: 50_000, north: 5000}, queued: 200_000,
		},
		"a new owner": {
			waiting: []Waiting{backlogOf(plainTasks, 900)}, done: map[Tasks]int64{plainTasks: 50_000}, seconds: 1,
			adopted: map[laneKey]int64{pool: 40_000, filling: 7}, want: map[laneKey]int64{pool: 40_000}, queued: 100_000,
		},
		"a new owner that has measured": {
			waiting: []Waiting{backlogOf(plainTasks, 900)}, done: map[Tasks]int64{plainTasks: 50_000}, seconds: 5,
			adopted: map[laneKey]int64{pool: 40_000}, want: map[laneKey]int64{pool: 50_000}, queued: 100_000,
		},
		"a new owner whose workers do nothing": {
			waiting: []Waiting{backlogOf(plainTasks, 900)}, seconds: 10, adopted: map[laneKey]int64{pool: 40_000},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			const wall = 1_000_000
			m := NewMeter()
			predecessor := dottervacancy.Outlook{At: wall}
			for key, drain := range tc.adopted {
				predecessor.Lanes = append(predecessor.Lanes, dottervacancy.Lane{Service: key.service, Fills: key.fills, Tenant: key.tenant, Drain: drain})
			}
			m.Adopt(0, wall, predecessor)
			every := max(tc.every, 200)
			var o dottervacancy.Outlook
			for now := dotterclock.Millis(0); now <= dotterclock.Millis(tc.seconds)*dotterclock.Second; now += every {
				for tasks, work := range tc.done {
					m.RecordDone(tasks, work*int64(every)/1000)
				}
				o = m.Observe(now, wall+now, tc.waiting, map[Tasks]int64{plainTasks: tc.progress * int64(now) / 1000}, tc.capped)
				assert.Equal(t, wall+now, o.At)
			}
			drains, queued := map[laneKey]int64{}, int64(0)
			for _, l := range o.Lanes {
				drains[laneKey{l.Service, l.Fills, l.Tenant}] = l.Drain
				queued += workOf(l)
				assert.Equal(t, tc.capped[l.Tenant], l.Cap)
			}
			require.Len(t, drains, len(tc.want))
			for key, drain := range tc.want {
				assert.InEpsilon(t, drain, drains[key], 0.01, key)
			}
			assert.Equal(t, tc.queued, queued)
		})
	}
}

// TestIntervals guards against work that counts as more urgent, or as of use for longer, than it
// is: both lead to refusals.
func TestIntervals(t *testing.T) {
	for _, d := range []dotterclock.Millis{-5, 0, 1, 499, 500, 501, 4000, 29_999, 3_600_000} {
		assert.GreaterOrEqual(t, upperBound(d), max(0, d))
		assert.LessOrEqual(t, lowerBound(d), max(0, d))
	}
	assert.Zero(t, upperBound(0))
}

// TestOutlookIsBounded guards against heads that grow with the number of priorities, tenants and
// jobs, and against entries that are left out although they are the largest.
func TestOutlookIsBounded(t *testing.T) {
	m := NewMeter()
	var waiting []Waiting
	capped := map[string]dotterroom.Room{}
	for i := range 4000 {
		tenant := fmt.Sprintf("a tenant with a long name %d", i%60)
		capped[tenant] = dotterroom.Room{MilliCores: 123_456_789, MemoryMB: 123_456_789, Accelerators: 1}
		waiting = append(waiting, Waiting{
			Tasks: Tasks{Service: "pool", Tenant: tenant}, Rank: i % 7, Class: i % 5, Slack: dotterclock.Millis(i * 10), Left: dotterclock.Millis(100 + i*20), Waited: 1000, Work: 1_000_000, Later: 1_000_000,
		})
	}
	waiting = append(waiting, Waiting{Tasks: plainTasks, Left: 90_000, Waited: 1000, Work: 1e12})
	var o dottervacancy.Outlook
	for now := dotterclock.Millis(0); now < 6000; now += 200 {
		for _, w := range waiting {
			m.RecordDone(w.Tasks, 10_000)
		}
		o = m.Observe(now, now, waiting, nil, capped)
	}
	encoded, err := json.Marshal(o)
	require.NoError(t, err)
	assert.Less(t, len(encoded), 3200, "8 KB a second in readings every 0.4 s")
	largest := int64(0)
	for _, l := range o.Lanes {
		for _, q := range l.Queued {
			largest = max(largest, q.Work)
		}
	}
	assert.EqualValues(t, 1e12, largest)
	var decoded dottervacancy.Outlook
	require.NoError(t, json.Unmarshal(encoded, &decoded))
	assert.Equal(t, o, decoded)
}
