package dotterfairshare_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterfairshare"
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

// grant is room given to a team.
type grant struct {
	team string
	room dotterroom.Room
}

// naiveFirst computes the team that goes first from all grants, without
// incremental state.
func naiveFirst(d dotterconfig.Document, grants []grant, pool dotterroom.Room, names []string) string {
	type entry struct {
		name, partner           string
		partnerShare, teamShare float64
	}
	var entries []entry
	for _, name := range names {
		team, _ := d.Team(name)
		var own, partner dotterroom.Room
		for _, g := range grants {
			if g.team == name {
				own = own.Add(g.room)
			}
			if t, _ := d.Team(g.team); t.Partner == team.Partner {
				partner = partner.Add(g.room)
			}
		}
		percent := 0.0
		for _, p := range d.Partners {
			if p.Name == team.Partner {
				percent = p.SharePercent
			}
		}
		entries = append(entries, entry{name, team.Partner,
			naiveRatio(partner.DominantShare(pool), percent), naiveRatio(own.DominantShare(pool), team.Weight)})
	}
	slices.SortFunc(entries, func(a, b entry) int {
		for _, less := range []bool{a.partnerShare < b.partnerShare,
			a.partnerShare == b.partnerShare && a.partner < b.partner,
			a.partner == b.partner && a.teamShare < b.teamShare,
			a.partner == b.partner && a.teamShare == b.teamShare && a.name < b.name} {
			if less {
				return -1
			}
		}
		return 1
	})
	return entries[0].name
}

func naiveRatio(share, entitlement float64) float64 {
	if entitlement == 0 {
		return math.Inf(1)
	}
	return share / entitlement
}

func drawDocument(t *rapid.T) dotterconfig.Document {
	var d dotterconfig.Document
	first := rapid.IntRange(0, 100).Draw(t, "percent")
	d.Partners = []dotterconfig.Partner{{Name: "A", SharePercent: float64(first)}, {Name: "B", SharePercent: float64(100 - first)}}
	for i := range rapid.IntRange(1, 6).Draw(t, "teams") {
		d.Teams = append(d.Teams, dotterconfig.Team{
			Name:    fmt.Sprintf("t%d", i),
			Partner: rapid.SampledFrom([]string{"A", "B"}).Draw(t, "partner"),
			Weight:  float64(rapid.IntRange(1, 4).Draw(t, "weight")),
			Quota:   dotterroom.Room{MilliCores: rapid.SampledFrom([]int64{0, 500, 2000}).Draw(t, "quota")},
		})
	}
	return d
}

func drawRoom(t *rapid.T) dotterroom.Room {
	return dotterroom.Room{
		MilliCores:   rapid.Int64Range(0, 400).Draw(t, "cores"),
		MemoryMB:     rapid.Int64Range(0, 400).Draw(t, "memory"),
		Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators"),
	}
}

// agreesWithNaive assigns room step by step and compares each choice with
// naiveFirst. The split changes half way.
func agreesWithNaive(t *rapid.T) {
	d := drawDocument(t)
	pool := dotterroom.Room{MilliCores: 4000, MemoryMB: 3000, Accelerators: 4}
	var names []string
	for _, team := range d.Teams {
		names = append(names, team.Name)
	}
	var grants []grant
	use := map[string]dotterroom.Room{}
	shares := dotterfairshare.New(d, use, pool)
	for step := range 20 {
		if step == 10 {
			d.Partners = drawDocument(t).Partners
			shares = dotterfairshare.New(d, use, pool)
		}
		first := names[shares.First(names)]
		assert.Equal(t, naiveFirst(d, grants, pool, names), first)
		room := drawRoom(t)
		team, _ := d.Team(first)
		within := team.Quota.MilliCores == 0 || use[first].MilliCores+room.MilliCores <= team.Quota.MilliCores
		assert.Equal(t, within, shares.Allows(first, room))
		grants = append(grants, grant{first, room})
		use[first] = use[first].Add(room)
		shares.Add(first, room)
		assert.Equal(t, use[first], shares.Use(first))
	}
}

func TestSharesAgreeWithNaive(t *testing.T) {
	rapid.Check(t, agreesWithNaive)
}

func FuzzShares(f *testing.F) {
	f.Fuzz(rapid.MakeFuzz(agreesWithNaive))
}

func TestSplitIsReachedWhenAllTeamsHaveWork(t *testing.T) {
	pool := dotterroom.Room{MilliCores: 1000, MemoryMB: 1000}
	tests := map[string]struct {
		percent float64
		want    int64
	}{
		"even":    {percent: 50, want: 500},
		"renewed": {percent: 70, want: 700},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := dotterconfig.Document{
				Partners: []dotterconfig.Partner{{Name: "A", SharePercent: tc.percent}, {Name: "B", SharePercent: 100 - tc.percent}},
				Teams:    []dotterconfig.Team{{Name: "a", Partner: "A", Weight: 1}, {Name: "b", Partner: "B", Weight: 5}, {Name: "c", Partner: "B", Weight: 1}},
			}
			s := dotterfairshare.New(d, nil, pool)
			names := []string{"a", "b", "c"}
			for range 100 {
				s.Add(names[s.First(names)], dotterroom.Room{MilliCores: 10, MemoryMB: 1})
			}
			assert.InDelta(t, tc.want, s.Use("a").MilliCores, 10)
			assert.InDelta(t, 5*s.Use("c").MilliCores, s.Use("b").MilliCores, 60)
		})
	}
}
