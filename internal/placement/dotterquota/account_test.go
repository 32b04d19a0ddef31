package dotterquota

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func cores(n int64) dotterroom.Room {
	return dotterroom.Room{MilliCores: n * 1000, MemoryMB: n * 2000}
}

// TestDecide guards against tenants above their caps, and against tasks that their caps keep
// from starting for ever.
func TestDecide(t *testing.T) {
	cap10 := cores(10)
	tests := map[string]struct {
		cap       dotterroom.Room
		allotment Part // 0: whole
		use       Use
		request   Request
		want      Decision
	}{
		"no cap":                               {use: Use{Room: cores(99), Runs: 9}, request: Request{Size: cores(50), Count: 7}, want: Decision{Start: 7}},
		"room for all":                         {cap: cap10, use: Use{Room: cores(2), Runs: 1}, request: Request{Size: cores(2), Count: 4}, want: Decision{Start: 4}},
		"wide step":                            {cap: cap10, use: Use{Room: cores(2), Runs: 1}, request: Request{Size: cores(2), Count: 160}, want: Decision{4, Waves}},
		"at the cap":                           {cap: cap10, use: Use{Room: cores(10), Runs: 5}, request: Request{Size: cores(2), Count: 4}, want: Decision{0, Held}},
		"cap halved while full":                {cap: cores(5), use: Use{Room: cores(10), Runs: 5}, request: Request{Size: cores(1), Count: 4}, want: Decision{0, Held}},
		"use above one field, not needed":      {cap: dotterroom.Room{Accelerators: 1}, use: Use{Room: dotterroom.Room{Accelerators: 2}, Runs: 2}, request: Request{Size: cores(1), Count: 1}, want: Decision{0, Held}},
		"field without a limit":                {cap: dotterroom.Room{MilliCores: 4000}, use: Use{Room: dotterroom.Room{MemoryMB: 9_000_000, Accelerators: 8}, Runs: 5}, request: Request{Size: cores(2), Count: 4}, want: Decision{2, Waves}},
		"memory is short":                      {cap: dotterroom.Room{MilliCores: 100_000, MemoryMB: 6000}, request: Request{Size: cores(2), Count: 4}, want: Decision{1, Waves}},
		"task without size":                    {cap: cap10, use: Use{Room: cores(10), Runs: 1}, request: Request{Count: 3}, want: Decision{Start: 3}},
		"larger than the cap, alone":           {cap: cap10, request: Request{Size: cores(11), Count: 1}, want: Decision{Start: 1}},
		"larger than the cap, several":         {cap: cap10, request: Request{Size: cores(11), Count: 3}, want: Decision{1, Waves}},
		"larger than the cap, not alone":       {cap: cap10, use: Use{Room: cores(1), Runs: 1}, request: Request{Size: cores(11), Count: 1}, want: Decision{0, Exclusive}},
		"larger than the cap, beside no size":  {cap: cap10, use: Use{Runs: 1}, request: Request{Size: cores(11), Count: 1}, want: Decision{0, Exclusive}},
		"beside a task larger than the cap":    {cap: cap10, use: Use{Room: cores(11), Runs: 1}, request: Request{Size: cores(1), Count: 1}, want: Decision{0, Held}},
		"larger than the cap, a part of it":    {cap: cap10, allotment: Whole / 2, request: Request{Size: cores(11), Count: 1}, want: Decision{0, Short}},
		"larger than the allotment":            {cap: cap10, allotment: Whole / 2, request: Request{Size: cores(6), Count: 1}, want: Decision{0, Short}},
		"allotment used":                       {cap: cap10, allotment: Whole / 2, use: Use{Room: cores(4), Runs: 1}, request: Request{Size: cores(2), Count: 1}, want: Decision{0, Held}},
		"within the allotment":                 {cap: cap10, allotment: Whole / 2, use: Use{Room: cores(2), Runs: 1}, request: Request{Size: cores(1), Count: 9}, want: Decision{3, Waves}},
		"gang fits":                            {cap: cap10, use: Use{Room: cores(2), Runs: 1}, request: Request{Size: cores(2), Count: 4, Gang: true}, want: Decision{Start: 4}},
		"gang fits in part":                    {cap: cap10, use: Use{Room: cores(3), Runs: 1}, request: Request{Size: cores(2), Count: 4, Gang: true}, want: Decision{0, Exclusive}},
		"gang larger than the cap":             {cap: cap10, request: Request{Size: cores(3), Count: 4, Gang: true}, want: Decision{0, Never}},
		"gang larger than the allotment":       {cap: cap10, allotment: Whole / 2, request: Request{Size: cores(2), Count: 4, Gang: true}, want: Decision{0, Short}},
		"beside long-running tasks, too large": {cap: cap10, use: Use{Room: cores(8), Runs: 4, Lasting: cores(6), LastingRuns: 3}, request: Request{Size: cores(5), Count: 2}, want: Decision{0, Short}},
		"beside long-running tasks":            {cap: cap10, use: Use{Room: cores(8), Runs: 4, Lasting: cores(6), LastingRuns: 3}, request: Request{Size: cores(4), Count: 2}, want: Decision{0, Held}},
		"gang beside long-running tasks":       {cap: cap10, use: Use{Room: cores(8), Runs: 4, Lasting: cores(6), LastingRuns: 3}, request: Request{Size: cores(1), Count: 5, Gang: true}, want: Decision{0, Short}},
		"alone beside long-running tasks":      {cap: cap10, use: Use{Room: cores(8), Runs: 4, Lasting: cores(6), LastingRuns: 3}, request: Request{Size: cores(11), Count: 1}, want: Decision{0, Short}},
		"gang of one larger than the cap":      {cap: cap10, request: Request{Size: cores(11), Count: 1, Gang: true}, want: Decision{Start: 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			a := Account{Cap: tc.cap, Allotment: tc.allotment, Use: tc.use}
			if a.Allotment == 0 {
				a.Allotment = Whole
			}
			assert.Equal(t, tc.want, Decide(a, tc.request))
		})
	}
}

// TestFitsCap guards against accepting a job that can never start.
func TestFitsCap(t *testing.T) {
	tests := map[string]struct {
		steps []dotterjob.Step
		want  bool
	}{
		"gang within the cap":     {steps: []dotterjob.Step{{Count: 5, Size: cores(2), Gang: true}}, want: true},
		"gang above the cap":      {steps: []dotterjob.Step{{Count: 1}, {Count: 6, Size: cores(2), Gang: true}}},
		"wide step above the cap": {steps: []dotterjob.Step{{Count: 600, Size: cores(2)}}, want: true},
		"task above the cap":      {steps: []dotterjob.Step{{Count: 1, Size: cores(20)}}, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tc.want, FitsCap(cores(10), dotterjob.Job{Steps: tc.steps}))
		})
	}
	assert.True(t, FitsCap(dotterroom.Room{}, dotterjob.Job{Steps: []dotterjob.Step{{Count: 900, Size: cores(64), Gang: true}}}), "without a cap")
}

// TestShardsTogetherStayWithinCap guards against a sum of the shards' use above the cap, for any
// division of it, except for one task that runs alone.
func TestShardsTogetherStayWithinCap(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		room := func(label string, most int64) dotterroom.Room {
			return dotterroom.Room{
				MilliCores: rapid.Int64Range(0, most).Draw(r, label), MemoryMB: rapid.Int64Range(0, most).Draw(r, label), Accelerators: rapid.Int64Range(0, 9).Draw(r, label),
			}
		}
		limit := room("cap", 100_000_000_000_000)
		shards := make([]Account, rapid.IntRange(1, 5).Draw(r, "shards"))
		left := Whole
		for i := range shards {
			part := Part(rapid.Int64Range(0, int64(left)).Draw(r, "part"))
			if i == 0 && rapid.Bool().Draw(r, "all in one") {
				part = Whole
			}
			left -= part
			shards[i] = Account{Cap: limit, Allotment: part}
		}
		sum, runs := dotterroom.Room{}, 0
		for range 30 {
			a := &shards[rapid.IntRange(0, len(shards)-1).Draw(r, "shard")]
			q := Request{Size: room("size", 50_000_000_000_000), Count: rapid.IntRange(1, 5).Draw(r, "count"), Gang: rapid.Bool().Draw(r, "gang")}
			d := Decide(*a, q)
			if q.Gang && d.Start != 0 && d.Start != q.Count {
				r.Fatalf("%d of a gang of %d", d.Start, q.Count)
			}
			a.Use.Room, a.Use.Runs = a.Use.Room.Add(times(q.Size, d.Start)), a.Use.Runs+d.Start
			sum = sum.Add(times(q.Size, d.Start))
			if !within(limit, q.Size, dotterroom.Room{}) {
				runs += d.Start // a task that needs nothing limited adds nothing to the excess
			}
			if runs > 1 && !within(limit, sum, limit) {
				r.Fatalf("%d runs of %v with a cap of %v", runs, sum, limit)
			}
		}
	})
}
