package dotterquota

import (
	"cmp"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// MaxTicket is the largest ticket of a claim. Claims are too rare to ever reach it.
const MaxTicket = 1 << 53

// Claim is what a shard needs of a tenant's cap so that a step can start which has waited for more than
// its part for long. Claims are served by ticket, and of one ticket by shard.
type Claim struct {
	Part   Part  // that the shard needs in all; 0: no claim
	Ticket int64 // above those of the claims that its owner knew when it made this one
}

// LeastPart returns the least part of the cap with which tasks of the request can start once the runs
// in the shard that are not long-running have ended. It reports false if none is enough.
func LeastPart(a Account, r Request) (Part, bool) {
	size := r.Size
	if r.Gang {
		size = times(r.Size, r.Count)
	}
	needed := a.Use.Lasting.Add(size)
	switch {
	case within(a.Cap, needed, a.Cap):
		return Needed(needed, a.Cap), true
	case within(a.Cap, size, a.Cap) || r.Gang && r.Count > 1 || a.Use.LastingRuns > 0:
		return 0, false
	}
	return Whole, true // a task larger than the cap
}

// WithUse returns s with what the runs of the account leave free and what long-running tasks hold.
func (s Standing) WithUse(a Account) Standing {
	s.Spare = max(0, s.Part-Needed(a.Use.Room, a.Cap)-s.Unused)
	if a.Use.Lasting != (dotterroom.Room{}) {
		s.Lasting = min(s.Part, Needed(a.Use.Lasting, a.Cap))
	}
	return s
}

// NextTicket returns the ticket of a claim that is made beside the other shards' claims.
func NextTicket(others []Standing) int64 {
	last := int64(0)
	for _, o := range others {
		if o.Claim.Part > 0 {
			last = max(last, o.Claim.Ticket)
		}
	}
	return min(last+1, MaxTicket)
}

// Serve returns what a shard, one of the given number, gives to the first claim that is not met yet. It
// reports false if there is none and the shard's part is not claimed by itself: Give decides then. A claim
// that all other shards together could not meet, because of long-running tasks or because some are
// not known, is passed over. A shard of which an earlier claim is met gives nothing until its step has started.
func Serve(own Standing, others []Standing, shards int) (Grant, bool) {
	all := append([]Standing{own}, others...)
	claims := slices.DeleteFunc(slices.Clone(all), func(s Standing) bool { return s.Claim.Part <= 0 })
	slices.SortFunc(claims, func(a, b Standing) int {
		return cmp.Or(cmp.Compare(a.Claim.Ticket, b.Claim.Ticket), cmp.Compare(a.Shard, b.Shard))
	})
	underway := Part(0) // in grants that have not been received
	if len(all) == shards {
		underway = max(0, Whole-sum(all, func(s Standing) Part { return s.Part }))
	}
	givers := all
	for _, c := range claims {
		without := slices.DeleteFunc(slices.Clone(givers), func(s Standing) bool { return s.Shard == c.Shard })
		gap := c.Claim.Part - c.Part
		if gap > 0 && sum(without, Standing.yield)+underway < gap {
			continue
		}
		givers = without
		if gap > 0 {
			return Grant{To: c.Shard, Part: portion(own.Shard, givers, gap)}.orNone(), true
		}
	}
	return Grant{}, !slices.ContainsFunc(givers, func(s Standing) bool { return s.Shard == own.Shard })
}

// portion returns how much of the gap the shard fills. What is free is given first, and then what is
// free once runs have ended; the shards that have the most of it give, so that few do.
func portion(shard string, givers []Standing, gap Part) Part {
	part := Part(0)
	later := func(s Standing) Part { return s.yield() - s.free() }
	for _, amount := range []func(Standing) Part{Standing.free, later} {
		slices.SortFunc(givers, func(a, b Standing) int {
			return cmp.Or(cmp.Compare(amount(b), amount(a)), cmp.Compare(a.Shard, b.Shard))
		})
		for _, g := range givers {
			given := min(gap, amount(g))
			gap -= given
			if g.Shard == shard {
				part += given
			}
		}
	}
	return part
}

// free returns the part that no run uses.
func (s Standing) free() Part {
	return min(s.Unused+s.Spare, s.yield())
}

// yield returns the part that no long-running task uses.
func (s Standing) yield() Part {
	return max(0, s.Part-s.Lasting)
}

// orNone returns g, or no grant if its part is 0.
func (g Grant) orNone() Grant {
	if g.Part <= 0 {
		return Grant{}
	}
	return g
}

func sum(standings []Standing, amount func(Standing) Part) Part {
	total := Part(0)
	for _, s := range standings {
		total += amount(s)
	}
	return total
}
