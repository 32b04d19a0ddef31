package dotterquota

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestServe guards against claims that wait without a bound, and against shards that give more than a
// claim needs, or to different claims.
func TestServe(t *testing.T) {
	const tenth = Whole / 10
	claims := func(shard string, part Part, claim Claim) Standing {
		return Standing{Shard: shard, Part: part, Spare: part, Need: tenth, Least: claim.Part, Claim: claim}
	}
	tests := map[string]struct {
		own    Standing
		others []Standing
		want   Grant
		served bool
	}{
		"no claim":                        {own: Standing{Shard: "a", Part: tenth, Unused: tenth}, others: []Standing{{Shard: "b", Part: tenth, Need: tenth}}},
		"too small to use, by ticket":     {own: claims("a", 2*tenth, Claim{3 * tenth, 2}), others: []Standing{claims("b", 2*tenth, Claim{3 * tenth, 1})}, want: Grant{"b", tenth}, served: true},
		"its own claim is first":          {own: claims("a", 2*tenth, Claim{3 * tenth, 1}), others: []Standing{claims("b", 2*tenth, Claim{3 * tenth, 2})}, served: true},
		"of one ticket, by name":          {own: claims("b", 2*tenth, Claim{3 * tenth, 1}), others: []Standing{claims("a", 2*tenth, Claim{3 * tenth, 1})}, want: Grant{"a", tenth}, served: true},
		"others fill the gap":             {own: claims("c", 2*tenth, Claim{3 * tenth, 1}), others: []Standing{claims("a", 2*tenth, Claim{3 * tenth, 1}), claims("b", 2*tenth, Claim{3 * tenth, 1})}, served: true},
		"the rest of the gap":             {own: claims("c", 2*tenth, Claim{5 * tenth, 1}), others: []Standing{claims("a", 2*tenth, Claim{5 * tenth, 1}), claims("b", 2*tenth, Claim{5 * tenth, 1})}, want: Grant{"a", tenth}, served: true},
		"the first is met":                {own: claims("c", 2*tenth, Claim{3 * tenth, 3}), others: []Standing{claims("a", 3*tenth, Claim{3 * tenth, 1}), claims("b", 2*tenth, Claim{3 * tenth, 2})}, want: Grant{"b", tenth}, served: true},
		"its own is met":                  {own: claims("a", 3*tenth, Claim{3 * tenth, 1}), others: []Standing{claims("b", 2*tenth, Claim{3 * tenth, 2}), claims("c", 2*tenth, Claim{})}, served: true},
		"its own is met, no other":        {own: claims("a", 3*tenth, Claim{3 * tenth, 1}), others: []Standing{{Shard: "b", Need: tenth}}, served: true},
		"what runs is given later":        {own: Standing{Shard: "a", Part: 5 * tenth, Need: tenth, Least: tenth}, others: []Standing{claims("b", 2*tenth, Claim{3 * tenth, 1})}, want: Grant{"b", tenth}, served: true},
		"what is free before what runs":   {own: Standing{Shard: "a", Part: 5 * tenth, Need: tenth}, others: []Standing{claims("b", 0, Claim{tenth, 1}), {Shard: "c", Part: tenth, Unused: tenth}}, served: true},
		"not what long-running tasks use": {own: Standing{Shard: "a", Part: 5 * tenth, Lasting: 4 * tenth}, others: []Standing{claims("b", 2*tenth, Claim{4 * tenth, 1}), {Shard: "c", Part: tenth}}, want: Grant{"b", tenth}, served: true},
		"cannot be met, next":             {own: Standing{Shard: "a", Part: 5 * tenth, Lasting: 4 * tenth}, others: []Standing{claims("b", 2*tenth, Claim{9 * tenth, 1}), claims("c", 3*tenth, Claim{4 * tenth, 2})}, served: true},
		"cannot be met":                   {own: Standing{Shard: "a", Part: 8 * tenth, Lasting: 4 * tenth}, others: []Standing{claims("b", 2*tenth, Claim{9 * tenth, 1})}},
		"with what is underway":           {own: Standing{Shard: "a", Part: 5 * tenth}, others: []Standing{claims("b", tenth, Claim{Whole, 1}), {Shard: "c", Part: tenth}}, want: Grant{"b", 5 * tenth}, served: true},
		"without an unknown shard's part": {own: Standing{Shard: "a", Part: 8 * tenth}, others: []Standing{claims("b", tenth, Claim{Whole, 1})}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			grant, served := Serve(tc.own, tc.others, 3)
			assert.Equal(t, tc.want, grant)
			assert.Equal(t, tc.served, served)
		})
	}
}

// TestShardsServeAlike guards against shards that do not choose the same claim, or give more or less
// together than it lacks, when they know the same of each other.
func TestShardsServeAlike(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var all []Standing
		left := Whole
		for i := range rapid.IntRange(2, 6).Draw(r, "shards") {
			s := Standing{Shard: fmt.Sprint(i), Part: Part(rapid.Int64Range(0, int64(left)).Draw(r, "part"))}
			left -= s.Part
			s.Lasting = Part(rapid.Int64Range(0, int64(s.Part)).Draw(r, "lasting")) * Part(rapid.IntRange(0, 1).Draw(r, "lasts"))
			s.Spare = Part(rapid.Int64Range(0, int64(s.Part-s.Lasting)).Draw(r, "spare"))
			if rapid.Bool().Draw(r, "claims") {
				s.Claim = Claim{Part: Part(rapid.Int64Range(1, int64(Whole)).Draw(r, "claim")), Ticket: rapid.Int64Range(1, 3).Draw(r, "ticket")}
			}
			all = append(all, s)
		}
		all[0].Part += left
		to, given := map[string]Standing{}, Part(0)
		for i, own := range all {
			grant, _ := Serve(own, slices.Delete(slices.Clone(all), i, i+1), len(all))
			if grant.To == "" {
				assert.Zero(r, grant.Part)
				continue
			}
			assert.Positive(r, grant.Part)
			assert.LessOrEqual(r, grant.Part, own.Part-own.Lasting)
			assert.NotEqual(r, own.Shard, grant.To)
			to[grant.To] = all[slices.IndexFunc(all, func(s Standing) bool { return s.Shard == grant.To })]
			given += grant.Part
		}
		assert.LessOrEqual(r, len(to), 1)
		for _, s := range to {
			assert.Equal(r, s.Claim.Part-s.Part, given)
		}
	})
}

// TestLeastPartIsLeast guards against a claim that is met although no task can start then, and against
// one for more than the task needs.
func TestLeastPartIsLeast(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		lasting := rapid.Int64Range(0, 6).Draw(r, "lasting")
		a := Account{Cap: cores(rapid.Int64Range(1, 12).Draw(r, "cap")), Use: Use{Room: cores(lasting), Lasting: cores(lasting)}}
		if lasting > 0 {
			a.Use.Runs, a.Use.LastingRuns = 1, 1
		}
		request := Request{Size: cores(rapid.Int64Range(0, 14).Draw(r, "size")), Count: rapid.IntRange(1, 4).Draw(r, "count"), Gang: rapid.Bool().Draw(r, "gang")}
		part, ok := LeastPart(a, request)
		if !ok {
			a.Allotment = Whole
			assert.Zero(r, Decide(a, request).Start)
			return
		}
		a.Allotment = part
		assert.Positive(r, Decide(a, request).Start, "with the least part")
		if part > 0 {
			a.Allotment--
			assert.Zero(r, Decide(a, request).Start, "with less")
		}
	})
}

// TestNextTicket guards against a claim that is served before the ones that its owner knows.
func TestNextTicket(t *testing.T) {
	tests := map[string]struct {
		others []Standing
		want   int64
	}{
		"none":     {want: 1},
		"no claim": {others: []Standing{{Claim: Claim{Ticket: 5}}}, want: 1},
		"some":     {others: []Standing{{Claim: Claim{1, 7}}, {Claim: Claim{1, 3}}}, want: 8},
		"the last": {others: []Standing{{Claim: Claim{1, MaxTicket}}}, want: MaxTicket},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tc.want, NextTicket(tc.others))
		})
	}
}
