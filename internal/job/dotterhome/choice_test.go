package dotterhome

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottervacancy"
)

// candidate returns a live shard of ten workers of 64 cores, of which some are empty and
// the others full.
func candidate(shard string, empty int, labels ...string) Candidate {
	s := dottervacancy.Service{Capacity: 640_000, Reserved: int64(10-empty) * 64_000, Unused: int64(empty) * 64_000, Labels: labels}
	for range empty {
		s.AddFree(dotterroom.Room{MilliCores: 64_000, MemoryMB: 250_000})
	}
	return Candidate{Shard: shard, Live: true, Vacancy: dottervacancy.Vacancy{Services: map[string]dottervacancy.Service{"pool": s}}}
}

// TestChoose gives the least share of 2,000 choices that each shard must get.
func TestChoose(t *testing.T) {
	quick := dotterjob.Step{Count: 9, Size: dotterroom.Room{MilliCores: 20_000, MemoryMB: 40_000}}
	filling := dotterjob.Step{Count: 20, Fills: true, Size: dotterroom.Room{MilliCores: 7000, MemoryMB: 13_000}}
	labelled, onRack := quick, quick
	labelled.Label, onRack.DataRack = "gpu", "r7"
	waiting := candidate("b", 5)
	s := waiting.Vacancy.Services["pool"]
	s.Waiting, s.Filling = 320_000, 320_000
	waiting.Vacancy.Services["pool"] = s
	dead, out := candidate("b", 10), candidate("b", 10)
	dead.Live, out.Out = false, true
	tests := map[string]struct {
		candidates []Candidate
		step       dotterjob.Step
		shares     map[string]float64
	}{
		"one shard":                        {candidates: []Candidate{candidate("a", 0)}, step: quick, shares: map[string]float64{"a": 1}},
		"equal shards":                     {candidates: []Candidate{candidate("a", 5), candidate("b", 5)}, step: quick, shares: map[string]float64{"a": 0.45, "b": 0.45}},
		"one full shard beside empty ones": {candidates: []Candidate{candidate("a", 5), candidate("b", 0), candidate("c", 5)}, step: quick, shares: map[string]float64{"a": 0.45, "c": 0.45}},
		"all are full":                     {candidates: []Candidate{candidate("a", 0), candidate("b", 0)}, step: quick, shares: map[string]float64{"a": 0.45, "b": 0.45}},
		"jobs wait in one":                 {candidates: []Candidate{candidate("a", 5), waiting}, step: quick, shares: map[string]float64{"a": 0.99}},
		"filling jobs wait in one":         {candidates: []Candidate{candidate("a", 5), waiting}, step: filling, shares: map[string]float64{"a": 0.99}},
		"one owner is silent":              {candidates: []Candidate{candidate("a", 0), dead}, step: quick, shares: map[string]float64{"a": 0.99}},
		"one shard is out of service":      {candidates: []Candidate{candidate("a", 0), out}, step: quick, shares: map[string]float64{"a": 0.99}},
		"one has the label":                {candidates: []Candidate{candidate("a", 1, "gpu"), candidate("b", 9)}, step: labelled, shares: map[string]float64{"a": 0.99}},
		"one has the rack of the data":     {candidates: []Candidate{candidate("a", 5, "r7"), candidate("b", 9)}, step: onRack, shares: map[string]float64{"a": 0.99}},
		"nothing is known yet":             {candidates: []Candidate{{Shard: "a"}, {Shard: "b"}}, step: quick, shares: map[string]float64{"a": 0.45, "b": 0.45}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			const choices = 2000
			counts := map[string]int{}
			for i := range choices {
				counts[Choose(tc.candidates, dotterjob.Job{Steps: []dotterjob.Step{tc.step}}, "pool", float64(i)/choices)]++
			}
			for shard, share := range tc.shares {
				assert.GreaterOrEqual(t, float64(counts[shard])/choices, share, shard)
			}
		})
	}
}
