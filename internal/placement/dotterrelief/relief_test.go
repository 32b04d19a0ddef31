package dotterrelief

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// testCosts are those of a deployment in which a stop costs more than a filling task's run.
var testCosts = Costs{MaxOverTarget: 4000, Stop: 900, Restore: 600}

// serving returns a serving task with a load that is not about to rise.
func serving(load float64) Serving {
	return Serving{Load: load, Peak: load, Known: true}
}

// filling returns a filling task at full pace that adds load to one serving task.
func filling(added float64, stake Stake) Filling {
	return Filling{Pace: 100, Wanted: 100, PacedFor: 5000, Checkpoints: true, Progress: 50, Added: []float64{added}, AtFullPace: []float64{added}, Use: 0.1, Stake: stake}
}

// at returns the task at another pace. Its Added is that at the pace.
func (f Filling) at(pace int) Filling {
	f.Pace, f.Wanted = pace, pace
	f.Added = []float64{f.AtFullPace[0] * float64(pace) / 100}
	return f
}

// wanted returns the task after an order for a pace that is not confirmed.
func (f Filling) wanted(pace int) Filling {
	f.Wanted = pace
	return f
}

func (f Filling) fixed() Filling {
	f.Fixed = true
	return f
}

// calm is the stake of a task in the middle of a job with much time.
var calm = Stake{Work: 250, Left: 700, Slack: 5000}

// worker returns a settled worker with unused processor time.
func worker(s Serving, fillings ...Filling) Worker {
	return Worker{Serving: []Serving{s}, Filling: fillings, Settled: true, Unused: 0.5}
}

// brief is an action without the values that only its log line needs.
type brief struct {
	filling int
	kind    Kind
	percent int
	reason  Reason
}

func briefs(actions []Action) []brief {
	var bs []brief
	for _, a := range actions {
		bs = append(bs, brief{a.Filling, a.Kind, a.Percent, a.Reason})
	}
	return bs
}

// TestByCost has the load of serving tasks whose users swing beside filling tasks whose stop
// costs more than their run time.
func TestByCost(t *testing.T) {
	unsettled := worker(serving(0.85), filling(0.2, calm))
	unsettled.Settled = false
	full := worker(serving(0.4), filling(0.1, calm).at(10))
	full.Unused = 0.01
	rising := serving(0.5)
	rising.Peak = 0.69
	over := serving(0.9)
	over.OverFor = 1400
	shortlyOver := serving(0.9)
	shortlyOver.OverFor = 1200
	unknown := serving(0.9)
	unknown.Known = false
	held := filling(0.1, calm).at(50)
	held.PacedFor = 900
	two := Worker{
		Serving: []Serving{serving(0.82), serving(0.79)}, Settled: true, Unused: 0.5,
		Filling: []Filling{
			{Pace: 100, Wanted: 100, Added: []float64{0.2, 0.1}, AtFullPace: []float64{0.2, 0.1}, Stake: calm},
			{Pace: 100, Wanted: 100, Added: []float64{0, 0.2}, AtFullPace: []float64{0, 0.2}, Stake: calm},
		},
	}
	delayed := func(delay, left, slack int64, stops int, last bool) Stake {
		return Stake{Work: 300, Left: millis(left), Slack: millis(slack), Delay: millis(delay), Stops: stops, Last: last}
	}
	alone := filling(0, calm)
	unsettledLow := worker(serving(0.4), filling(0.2, delayed(1800, 900, 0, 0, false)).at(10))
	unsettledLow.Settled = false
	tests := map[string]struct {
		worker Worker
		want   []brief
	}{
		"low load: nothing":                            {worker: worker(serving(0.6), filling(0.2, calm))},
		"between the thresholds: nothing":              {worker: worker(serving(0.75), filling(0.2, calm), filling(0.1, calm).at(50))},
		"no serving task is left: raised":              {worker: Worker{Filling: []Filling{alone.at(0)}, Settled: true, Unused: 0.5}, want: []brief{{0, Raise, 100, LoadAllowed}}},
		"no reading of the tail, long delay: stopped":  {worker: worker(unknown, filling(0.2, delayed(1800, 900, 0, 0, false)).at(10)), want: []brief{{0, Stop, 0, LongDelay}}},
		"no reading of the tail: nothing":              {worker: worker(unknown, filling(0.2, calm))},
		"the last order does not show yet: nothing":    {worker: unsettled},
		"tasks of no effect are left":                  {worker: worker(serving(0.9), filling(0.02, calm))},
		"no further than necessary":                    {worker: worker(serving(0.80), filling(0.2, calm)), want: []brief{{0, Slow, 60, HighLoad}}},
		"one that adds much is enough":                 {worker: worker(serving(0.82), filling(0.1, calm), filling(0.3, calm)), want: []brief{{1, Slow, 60, HighLoad}}},
		"two if one is not enough":                     {worker: worker(serving(0.92), filling(0.1, calm), filling(0.15, calm)), want: []brief{{1, Slow, 10, HighLoad}, {0, Slow, 30, HighLoad}}},
		"a task whose job is pressed is spared":        {worker: worker(serving(0.80), filling(0.12, calm), filling(0.2, Stake{Slack: -100})), want: []brief{{0, Slow, 30, HighLoad}}},
		"the last task of a job is spared":             {worker: worker(serving(0.80), filling(0.12, calm), filling(0.2, Stake{Slack: 900, Last: true})), want: []brief{{0, Slow, 30, HighLoad}}},
		"a slow task is slowed further":                {worker: worker(serving(0.80), filling(0.4, calm).at(50)), want: []brief{{0, Slow, 30, HighLoad}}},
		"a task at the lowest pace is left":            {worker: worker(serving(0.80), filling(0.9, calm).at(10))},
		"a task that is being stopped is left":         {worker: worker(serving(0.85), filling(0.2, calm).fixed())},
		"an order that is not confirmed is waited for": {worker: worker(serving(0.85), filling(0.2, calm).wanted(50))},
		"relief of one counts for the other":           {worker: two, want: []brief{{0, Slow, 50, HighLoad}}},

		"long delay: stopped":                                         {worker: worker(serving(0.75), filling(0.2, delayed(1800, 900, 0, 0, false)).at(10)), want: []brief{{0, Stop, 0, LongDelay}}},
		"delay below the cost of a stop: kept":                        {worker: worker(serving(0.75), filling(0.2, delayed(1700, 900, 0, 0, false)).at(10))},
		"last task: half the delay suffices":                          {worker: worker(serving(0.75), filling(0.2, delayed(950, 900, 0, 0, true)).at(10)), want: []brief{{0, Stop, 0, LongDelay}}},
		"stopped before: twice the delay":                             {worker: worker(serving(0.75), filling(0.2, delayed(1800, 900, 0, 1, false)).at(10))},
		"almost done: kept":                                           {worker: worker(serving(0.75), filling(0.2, delayed(1800, 100, 0, 0, false)).at(10))},
		"ends in time at its pace: kept":                              {worker: worker(serving(0.75), filling(0.2, delayed(1800, 900, 9000, 0, false)).at(10))},
		"long delay, but the load is low: raised":                     {worker: worker(serving(0.4), filling(0.2, delayed(1800, 900, 0, 0, false)).at(10)), want: []brief{{0, Raise, 100, LoadAllowed}}},
		"long delay, load is low, last order does not show yet: kept": {worker: unsettledLow},
		"long delay in the past, full pace: kept":                     {worker: worker(serving(0.75), filling(0.2, delayed(9000, 900, 0, 0, false)))},

		"raised to full pace":                        {worker: worker(serving(0.5), filling(0.2, calm).at(10)), want: []brief{{0, Raise, 100, LoadAllowed}}},
		"raised in part":                             {worker: worker(serving(0.62), filling(0.2, calm).at(10)), want: []brief{{0, Raise, 50, LoadAllowed}}},
		"not raised by little":                       {worker: worker(serving(0.68), filling(0.2, calm).at(10))},
		"not raised when the load is about to rise":  {worker: worker(rising, filling(0.2, calm).at(10))},
		"not raised just after a change":             {worker: worker(serving(0.4), held)},
		"not raised where processor time is used up": {worker: full},
		"the pressed one first": {
			worker: worker(serving(0.55), filling(0.15, Stake{Slack: 5000, Delay: 500}).at(10), filling(0.15, Stake{Slack: -5, Delay: 400}).at(10)),
			want:   []brief{{1, Raise, 100, LoadAllowed}},
		},
		"both if there is room": {
			worker: worker(serving(0.4), filling(0.15, calm).at(10), filling(0.15, calm).at(0)),
			want:   []brief{{0, Raise, 100, LoadAllowed}, {1, Raise, 100, LoadAllowed}},
		},

		"over its target for too long: all suspended": {
			worker: worker(over, filling(0, calm), filling(0.2, calm).at(10), filling(0, calm).at(0), filling(0.2, calm).fixed()),
			want:   []brief{{0, Suspend, 0, OverTarget}, {1, Suspend, 0, OverTarget}},
		},
		"suspended for long: stopped": {
			worker: worker(over, filling(0.2, delayed(1800, 900, 0, 0, false)).at(0)),
			want:   []brief{{0, Stop, 0, LongDelay}},
		},
		"over its target for a short time: slowed": {worker: worker(shortlyOver, filling(0.3, calm)), want: []brief{{0, Slow, 40, HighLoad}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tc.want, briefs(ByCost(tc.worker, testCosts)))
		})
	}
}

// TestByLoad has the same load where a stop is cheap.
func TestByLoad(t *testing.T) {
	over := serving(0.9)
	over.OverFor = 1400
	unsettled := worker(serving(0.85), filling(0.2, calm))
	unsettled.Settled = false
	unsaved, fresh := filling(0.2, calm), filling(0.2, calm)
	unsaved.Checkpoints, fresh.Checkpoints, fresh.Progress = false, false, 20
	tests := map[string]struct {
		worker Worker
		want   []brief
	}{
		"between the thresholds: nothing":           {worker: worker(serving(0.75), filling(0.2, calm), filling(0.1, calm).at(10))},
		"the last order does not show yet: nothing": {worker: unsettled},
		"the ones that add most are stopped":        {worker: worker(serving(0.92), filling(0.1, calm), filling(0.15, calm), filling(0.12, calm)), want: []brief{{1, Stop, 0, HighLoad}, {2, Stop, 0, HighLoad}}},
		"tasks of no effect are left":               {worker: worker(serving(0.9), filling(0.02, calm))},
		"progress that cannot be saved is kept":     {worker: worker(serving(0.85), unsaved), want: []brief{{0, Slow, 10, HighLoad}}},
		"little progress is not":                    {worker: worker(serving(0.85), fresh), want: []brief{{0, Stop, 0, HighLoad}}},
		"over its target for too long":              {worker: worker(over, filling(0, calm), unsaved.at(10), unsaved.at(0)), want: []brief{{0, Stop, 0, OverTarget}, {1, Suspend, 0, OverTarget}}},
		"no serving task is left":                   {worker: Worker{Filling: []Filling{unsaved.at(0)}, Settled: true}, want: []brief{{0, Raise, 100, LoadAllowed}}},
		"one task at a time is raised":              {worker: worker(serving(0.5), filling(0.3, calm).at(10), filling(0.1, calm).at(10), filling(0.1, calm).at(10)), want: []brief{{1, Raise, 100, LoadAllowed}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tc.want, briefs(ByLoad(tc.worker, testCosts)))
		})
	}
}

// TestByCostDoesNotAlternate guards against a task that alternates between two paces while
// the load of the users stands still, whatever it is.
func TestByCostDoesNotAlternate(t *testing.T) {
	const maxChanges = 3 // down, down further if the first step was too small, and up once
	for percent := 30; percent <= 95; percent++ {
		users, f := float64(percent)/100, filling(0.25, calm)
		changes := 0
		for range 100 { // listings, 1 s apart
			w := worker(serving(users+f.Added[0]), f)
			for _, a := range ByCost(w, testCosts) {
				f = f.at(a.Percent)
				changes++
			}
			f.PacedFor = 1000
		}
		assert.LessOrEqual(t, changes, maxChanges, "users' load %.2f", users)
	}
}

// millis shortens tables.
func millis(ms int64) dotterclock.Millis {
	return dotterclock.Millis(ms)
}
