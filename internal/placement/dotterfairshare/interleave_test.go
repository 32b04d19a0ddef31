package dotterfairshare_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterfairshare"
)

// TestInterleave guards against a team whose long queue takes all room that becomes free before
// the shares are computed again.
func TestInterleave(t *testing.T) {
	queue := func(counts map[string]int, order string, cores int64) []dotterfairshare.Demand {
		var demands []dotterfairshare.Demand
		for _, team := range order {
			for range counts[string(team)] {
				demands = append(demands, dotterfairshare.Demand{Team: string(team), Room: dotterroom.Room{MilliCores: cores}})
			}
		}
		return demands
	}
	tests := map[string]struct {
		demands []dotterfairshare.Demand
		use     map[string]dotterroom.Room
		most    int
		want    string // teams in order
	}{
		"by weight":          {demands: queue(map[string]int{"a": 6, "b": 6}, "ab", 10), most: 9, want: "abaabaababbb"},
		"one team":           {demands: queue(map[string]int{"a": 3}, "a", 10), most: 9, want: "aaa"},
		"one holds much":     {demands: queue(map[string]int{"a": 2, "b": 2}, "ab", 10), use: map[string]dotterroom.Room{"a": {MilliCores: 500}}, most: 9, want: "bbaa"},
		"bounded":            {demands: queue(map[string]int{"a": 4, "b": 2}, "ab", 10), most: 2, want: "abaaab"},
		"no longer a tenant": {demands: queue(map[string]int{"x": 2, "b": 2}, "xb", 10), most: 9, want: "bbxx"},
		"nothing":            {most: 9},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			document := dotterconfig.Document{
				Partners: []dotterconfig.Partner{{Name: "all", SharePercent: 100}},
				Teams:    []dotterconfig.Team{{Name: "a", Partner: "all", Weight: 2}, {Name: "b", Partner: "all", Weight: 1}},
			}
			s := dotterfairshare.New(document, tc.use, dotterroom.Room{MilliCores: 1000})
			order := s.Interleave(tc.demands, tc.most)
			got := ""
			for _, i := range order {
				got += tc.demands[i].Team
			}
			assert.Equal(t, tc.want, got)
			slices.Sort(order)
			for i, n := range order {
				assert.Equal(t, i, n, "each demand once")
			}
		})
	}
}
