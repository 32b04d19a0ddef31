package dotterquota

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// TestGive guards against a part of the cap that stays with a shard that has no use for it, and
// against a shard that is left without any while another has most.
func TestGive(t *testing.T) {
	tests := map[string]struct {
		own    Standing
		others []Standing
		want   Grant
	}{
		"nobody needs more":            {own: Standing{Part: 2_520_000, Unused: 2_016_000}, others: []Standing{{Shard: "b", Part: 2_520_000}}},
		"unused and needed":            {own: Standing{Part: 2_520_000, Unused: 2_016_000}, others: []Standing{{Shard: "b", Part: 2_520_000, Need: 1_512_000}}, want: Grant{"b", 1_512_000}},
		"less unused than needed":      {own: Standing{Part: 2_520_000, Unused: 1_008_000}, others: []Standing{{Shard: "b", Part: 2_520_000, Need: 1_512_000}}, want: Grant{"b", 1_008_000}},
		"to the neediest":              {own: Standing{Part: 1_008_000, Unused: 1_008_000}, others: []Standing{{Shard: "b", Need: 504_000}, {Shard: "c", Need: 1_512_000}}, want: Grant{"c", 1_008_000}},
		"equal needs, by name":         {own: Standing{Part: 1_008_000, Unused: 1_008_000}, others: []Standing{{Shard: "c", Need: 504_000}, {Shard: "b", Need: 504_000}}, want: Grant{"b", 504_000}},
		"too little":                   {own: Standing{Part: 2_520_000, Unused: 4536}, others: []Standing{{Shard: "b", Need: 1_512_000}}},
		"little, but all it needs":     {own: Standing{Part: 2_520_000, Unused: 4536}, others: []Standing{{Shard: "b", Need: 1512}}, want: Grant{"b", 1512}},
		"little, but all it has":       {own: Standing{Part: 4536, Unused: 4536}, others: []Standing{{Shard: "b", Need: 1_512_000}}, want: Grant{"b", 4536}},
		"both need, much difference":   {own: Standing{Part: 4_536_000, Need: 504_000}, others: []Standing{{Shard: "b", Part: 504_000, Need: 2_520_000}}, want: Grant{"b", 1_008_000}},
		"both need, little":            {own: Standing{Part: 2_620_800, Need: 504_000}, others: []Standing{{Shard: "b", Part: 2_419_200, Need: 2_520_000}}},
		"both need, it has less":       {own: Standing{Part: 504_000, Need: 504_000}, others: []Standing{{Shard: "b", Part: 4_536_000, Need: 504_000}}},
		"both need, it could run none": {own: Standing{Part: 4_536_000, Need: 504_000, Least: 4_032_000}, others: []Standing{{Shard: "b", Part: 504_000, Need: 2_520_000}}},
		"both need, no task more":      {own: Standing{Part: 4_536_000, Need: 504_000}, others: []Standing{{Shard: "b", Part: 504_000, Need: 2_520_000, Least: 2_016_000}}},
		"both need, a task more":       {own: Standing{Part: 4_536_000, Need: 504_000, Least: 3_528_000}, others: []Standing{{Shard: "b", Part: 504_000, Need: 2_520_000, Least: 1_512_000}}, want: Grant{"b", 1_008_000}},
		"one more beside long-running": {own: Standing{Part: 4_536_000, Need: 504_000}, others: []Standing{{Shard: "b", Part: 504_000, Need: 2_520_000, Lasting: 504_000, Least: 1_008_000}}, want: Grant{"b", 1_008_000}},
		"all used, nothing held":       {own: Standing{Part: 5_040_000}, others: []Standing{{Shard: "b", Need: 2_016_000}}, want: Grant{"b", 1_260_000}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tc.want, Give(tc.own, tc.others))
		})
	}
}

// TestNewStanding guards against a part that is given away although runs use it, or kept although
// nothing does.
func TestNewStanding(t *testing.T) {
	tests := map[string]struct {
		allotment Part
		use, held int64 // cores of a cap of ten
		want      Standing
	}{
		"nothing runs":         {allotment: 1_512_000, want: Standing{Part: 1_512_000, Unused: 1_512_000}},
		"some run":             {allotment: 1_512_000, use: 1, want: Standing{Part: 1_512_000, Unused: 1_008_000}},
		"all used":             {allotment: 1_512_000, use: 3, want: Standing{Part: 1_512_000}},
		"above after a change": {allotment: 1_512_000, use: 5, want: Standing{Part: 1_512_000}},
		"held":                 {allotment: 1_512_000, use: 3, held: 2, want: Standing{Part: 1_512_000, Need: 1_008_000}},
		"much held":            {allotment: 1_512_000, use: 3, held: 200, want: Standing{Part: 1_512_000, Need: 3_528_000}},
		"a large task held":    {allotment: 1_512_000, use: 0, held: 4, want: Standing{Part: 1_512_000, Need: 504_000}},
		"held for other runs":  {allotment: 1_512_000, use: 0, held: 2, want: Standing{Part: 1_512_000}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			a := Account{Cap: cores(10), Allotment: tc.allotment, Use: Use{Room: cores(tc.use)}}
			tc.want.Shard = "a"
			assert.Equal(t, tc.want, NewStanding("a", a, cores(tc.held)))
		})
	}
}

// TestNeededCoversUse guards against giving away, by rounding, a part that runs use.
func TestNeededCoversUse(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := dotterroom.Room{MilliCores: rapid.Int64Range(0, 1<<50).Draw(r, "cap"), MemoryMB: rapid.Int64Range(0, 1000).Draw(r, "memory")}
		use := dotterroom.Room{MilliCores: rapid.Int64Range(0, limit.MilliCores).Draw(r, "use"), MemoryMB: rapid.Int64Range(0, limit.MemoryMB).Draw(r, "used memory")}
		part := Needed(use, limit)
		assert.LessOrEqual(t, part, Whole)
		assert.True(t, within(limit, use, part.Of(limit)))
	})
}

// TestEqualPartsAddUp guards against a task larger than the cap that can never start, because the
// shards together have less than the whole.
func TestEqualPartsAddUp(t *testing.T) {
	for shards := 1; shards < 20; shards++ {
		sum := Part(0)
		for i := range shards {
			sum += Equal(i, shards)
		}
		assert.Equal(t, Whole, sum)
	}
}
