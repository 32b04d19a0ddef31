package dotteradmission

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottervacancy"
)

const testNow dotterclock.Millis = 5_000_000

var testQueue = dotterqueues.Queue{Host: "h", Prefix: "/q/", Service: "pool", Rank: 1, Stretch: 2, Target: 1000}

// twoSteps returns a job whose objective is 5 s and whose latest useful start is 13.8 s away.
func twoSteps() dotterjob.Job {
	size := dotterroom.Room{MilliCores: 4000, MemoryMB: 8000}
	return dotterjob.Job{Steps: []dotterjob.Step{
		{Count: 10, Estimate: 1000, Size: size}, {Count: 10, Estimate: 1000, Size: size, After: []int{0}},
	}}
}

// outlookOf returns an outlook, just computed, with a drain of 10 cores and the work.
func outlookOf(queued ...dottervacancy.Queued) dottervacancy.Outlook {
	return dottervacancy.Outlook{At: testNow, Lanes: []dottervacancy.Lane{{Service: "pool", Drain: 10_000, Queued: queued}}}
}

// seconds returns work that takes the given time if the drain rises as much as it may.
func seconds(n int64) int64 {
	return n * 15_000
}

func ahead(n int64) dottervacancy.Queued {
	return dottervacancy.Queued{Rank: 1, Slack: 4000, Left: 12_000, Work: seconds(n)}
}

func TestDecide(t *testing.T) {
	overloaded := outlookOf(ahead(30))
	with := func(change func(*dottervacancy.Outlook)) dottervacancy.Outlook {
		o := outlookOf(ahead(30))
		change(&o)
		return o
	}
	job := func(change func(*dotterjob.Job)) dotterjob.Job {
		j := twoSteps()
		change(&j)
		return j
	}
	north := dottervacancy.Lane{Tenant: "north", Cap: dotterroom.Room{MilliCores: 9000}, Drain: 10_000, Queued: []dottervacancy.Queued{ahead(30)}}
	atCap := dottervacancy.Outlook{At: testNow, Lanes: []dottervacancy.Lane{north}}
	ofNorth := job(func(j *dotterjob.Job) { j.Tenant = "north" })
	tests := map[string]struct {
		job       dotterjob.Job // zero: twoSteps
		shards    []Shard
		tenantCap dotterroom.Room
		queue     *dotterqueues.Queue // nil: testQueue
		want      Reason              // empty: accepted
	}{
		"no live shard":                            {},
		"no backlog":                               {shards: []Shard{{Outlook: dottervacancy.Outlook{At: testNow}}}},
		"a backlog that is gone in time":           {shards: []Shard{{Outlook: outlookOf(ahead(13))}}},
		"a backlog that is not":                    {shards: []Shard{{Outlook: overloaded}}, want: Backlog},
		"only of jobs that are late":               {shards: []Shard{{Outlook: outlookOf(dottervacancy.Queued{Rank: 1, Left: 12_000, Work: seconds(30)})}}},
		"of jobs that expire sooner":               {shards: []Shard{{Outlook: outlookOf(dottervacancy.Queued{Rank: 1, Slack: 4000, Left: 8000, Work: seconds(30)})}}},
		"of jobs with a later objective":           {shards: []Shard{{Outlook: outlookOf(dottervacancy.Queued{Rank: 1, Slack: 6000, Left: 12_000, Work: seconds(30)})}}},
		"of a lower priority":                      {shards: []Shard{{Outlook: outlookOf(dottervacancy.Queued{Rank: 2, Slack: 4000, Left: 12_000, Work: seconds(30)})}}},
		"of a higher priority":                     {shards: []Shard{{Outlook: outlookOf(dottervacancy.Queued{Rank: 0, Slack: 4000, Left: 1000, Work: seconds(30)})}}, want: Backlog},
		"of larger tasks":                          {shards: []Shard{{Outlook: outlookOf(dottervacancy.Queued{Rank: 1, Class: 1, Slack: 4000, Left: 12_000, Work: seconds(30)})}}},
		"of filling tasks":                         {shards: []Shard{{Outlook: with(func(o *dottervacancy.Outlook) { o.Lanes[0].Fills = true })}}},
		"of another service":                       {shards: []Shard{{Outlook: with(func(o *dottervacancy.Outlook) { o.Lanes[0].Service = "other" })}}},
		"steps that are not ready count":           {shards: []Shard{{Outlook: outlookOf(ahead(10), dottervacancy.Queued{Rank: 1, Left: 12_000, Later: seconds(10)})}}, want: Backlog},
		"a single step may start at the last time": {job: job(func(j *dotterjob.Job) { j.Steps = j.Steps[:1] }), shards: []Shard{{Outlook: overloaded}}},
		"a single step behind a hundred times what can be done": {
			job: job(func(j *dotterjob.Job) { j.Steps = j.Steps[:1] }), shards: []Shard{{Outlook: outlookOf(dottervacancy.Queued{Rank: 1, Slack: 2500, Left: 8000, Work: seconds(300)})}}, want: Backlog,
		},
		"long-running":                    {job: job(func(j *dotterjob.Job) { j.Steps[0].LongRunning = true }), shards: []Shard{{Outlook: overloaded}}},
		"with due times":                  {job: job(func(j *dotterjob.Job) { j.Times = 1 }), shards: []Shard{{Outlook: overloaded}}},
		"that declares no run time":       {job: job(func(j *dotterjob.Job) { j.Steps[0].Estimate, j.Steps[1].Estimate = 0, 0 }), shards: []Shard{{Outlook: overloaded}}},
		"of a queue without an objective": {queue: &dotterqueues.Queue{Service: "pool", Rank: 1}, shards: []Shard{{Outlook: overloaded}}},
		"missing outlook":                 {shards: []Shard{{}}},
		"old when it was read":            {shards: []Shard{{Outlook: with(func(o *dottervacancy.Outlook) { o.At -= 2001 })}}},
		"not read again":                  {shards: []Shard{{Outlook: overloaded, SeenAge: 2001}}},
		"from a clock that is fast":       {shards: []Shard{{Outlook: with(func(o *dottervacancy.Outlook) { o.At += 60_000 }), SeenAge: 100}}, want: Backlog},
		"a fast clock, not read":          {shards: []Shard{{Outlook: with(func(o *dottervacancy.Outlook) { o.At += 60_000 }), SeenAge: 2001}}},
		"no drain":                        {shards: []Shard{{Outlook: with(func(o *dottervacancy.Outlook) { o.Lanes[0].Drain = 0 })}}},
		"negative drain":                  {shards: []Shard{{Outlook: with(func(o *dottervacancy.Outlook) { o.Lanes[0].Drain = -1 })}}},
		"negative work": {shards: []Shard{{Outlook: with(func(o *dottervacancy.Outlook) {
			o.Lanes[0].Queued = append(o.Lanes[0].Queued, dottervacancy.Queued{Work: -1})
		})}}},
		"another shard has none":       {shards: []Shard{{Outlook: overloaded}, {Outlook: dottervacancy.Outlook{At: testNow}}}},
		"another shard is not known":   {shards: []Shard{{Outlook: overloaded}, {Outlook: overloaded, SeenAge: 5000}}},
		"every shard is overloaded":    {shards: []Shard{{Outlook: overloaded}, {Outlook: overloaded}}, want: Backlog},
		"tenant at its cap":            {job: ofNorth, tenantCap: north.Cap, shards: []Shard{{Outlook: atCap}}, want: TenantCap},
		"tenant whose cap has changed": {job: ofNorth, tenantCap: dotterroom.Room{MilliCores: 90_000}, shards: []Shard{{Outlook: atCap}}},
		"another tenant":               {job: job(func(j *dotterjob.Job) { j.Tenant = "south" }), tenantCap: north.Cap, shards: []Shard{{Outlook: atCap}}},
		"no tenant":                    {shards: []Shard{{Outlook: atCap}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if tc.job.Steps == nil {
				tc.job = twoSteps()
			}
			queue := testQueue
			if tc.queue != nil {
				queue = *tc.queue
			}
			d := Decide(testNow, tc.job, queue, tc.tenantCap, tc.shards)
			assert.Equal(t, tc.want != "", d.Refused)
			assert.Equal(t, tc.want, d.Reason)
			if d.Refused {
				assert.Positive(t, d.RetryIn())
			}
		})
	}
}

// TestGarbledOutlook guards against a head that cannot be used, and against refusals, because its
// outlook cannot be decoded.
func TestGarbledOutlook(t *testing.T) {
	tests := map[string]string{
		"another type":      `{"Published":true,"Outlook":[]}`,
		"a field's type":    `{"Published":true,"Outlook":{"At":5000000,"Lanes":[{"Service":"pool","Drain":"x"}]}}`,
		"out of range":      `{"Published":true,"Outlook":{"At":1e99}}`,
		"null":              `{"Published":true,"Outlook":null}`,
		"absent":            `{"Published":true}`,
		"queued of a type":  `{"Published":true,"Outlook":{"At":5000000,"Lanes":[{"Service":"pool","Drain":1,"Queued":[{"Work":1}]}]}}`,
		"queued too short":  `{"Published":true,"Outlook":{"At":5000000,"Lanes":[{"Service":"pool","Drain":1,"Queued":[[1,0]]}]}}`,
		"lanes of no lanes": `{"Published":true,"Outlook":{"At":5000000,"Lanes":[null,{}]}}`,
	}
	for name, value := range tests {
		t.Run(name, func(t *testing.T) {
			var v dottervacancy.Vacancy
			require.NoError(t, json.Unmarshal([]byte(value), &v))
			assert.True(t, v.Published)
			assert.False(t, Decide(testNow, twoSteps(), testQueue, dotterroom.Room{}, []Shard{{Outlook: v.Outlook}}).Refused)
		})
	}
}

// FuzzDecide decides by whatever a head may hold.
func FuzzDecide(f *testing.F) {
	f.Add(`{"At":5000000,"Lanes":[{"Service":"pool","Drain":1,"Queued":[[1,0,1,999999,9000000000000000000,0]]}]}`)
	f.Add(`{"At":5000000,"Lanes":[{"Tenant":"north","Drain":9223372036854775807}]}`)
	f.Fuzz(func(t *testing.T, value string) {
		var o dottervacancy.Outlook
		if json.Unmarshal([]byte(value), &o) != nil {
			return
		}
		d := Decide(testNow, twoSteps(), testQueue, dotterroom.Room{}, []Shard{{Outlook: o}})
		if d.Refused {
			after := NewRetrySchedule().Next(testNow, d)
			assert.LessOrEqual(t, after, maxRetryAfter)
			assert.GreaterOrEqual(t, after, minRetryAfter)
		}
		NewMeter().Adopt(0, testNow, o)
	})
}
