package dotterquota

import (
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

const (
	// minGrant is the smallest part that is given unless it is all that the receiver needs or that
	// the giver has: each grant takes a commit of both owners.
	minGrant = Whole / 100
	// minDifference is how much larger a part must be for its shard to give of it although it could
	// use all of it.
	minDifference = Whole / 10
	// shiftDivisor divides the difference between two such parts. Half of it would make them equal;
	// less keeps two owners that decide at the same time from passing each other.
	shiftDivisor = 4
)

// Standing is what a shard has of a tenant's cap, and what it could do with more or less of it.
type Standing struct {
	Shard  string
	Part   Part // that it has
	Need   Part // that waiting tasks, which the cap holds there, could use in addition
	Unused Part // that nothing there uses while nothing is held

	Spare   Part // that nothing there uses although tasks are held
	Lasting Part // that long-running tasks use
	Least   Part // the least with which any held task can start; 0: none is held
	Claim   Claim
}

// NewStanding returns the standing of a shard in which tasks of the given size in all are held by
// the cap.
func NewStanding(shard string, a Account, held dotterroom.Room) Standing {
	s := Standing{Shard: shard, Part: a.Allotment}
	used := Needed(a.Use.Room, a.Cap)
	switch {
	case !held.IsZero():
		s.Need = max(0, Needed(a.Use.Room.Add(held), a.Cap)-a.Allotment)
	case a.Allotment > used:
		s.Unused = a.Allotment - used
	}
	return s
}

// Valid reports whether all parts are between nothing and the whole, and the ticket is one.
func (s Standing) Valid() bool {
	parts := []Part{s.Part, s.Need, s.Unused, s.Spare, s.Lasting, s.Least, s.Claim.Part}
	return slices.Min(parts) >= 0 && slices.Max(parts) <= Whole && s.Claim.Ticket >= 0 && s.Claim.Ticket <= MaxTicket
}

// Grant is a part that a shard gives to another one.
type Grant struct {
	To   string // empty: none
	Part Part
}

// Give returns what a shard gives of its part: what it does not use, to the shard that needs the
// most. A shard that needs its part itself gives to one that has much less and needs more too; it
// can do so only as its runs end, and unless no task could start with what it keeps or no more tasks
// could run with what the receiver has then: claims are for that.
func Give(own Standing, others []Standing) Grant {
	var to Standing
	for _, o := range others {
		if o.Need > to.Need || o.Need == to.Need && o.Need > 0 && o.Shard < to.Shard {
			to = o
		}
	}
	if to.Need <= 0 {
		return Grant{}
	}
	if own.Unused > 0 {
		part := min(own.Unused, to.Need)
		if part < minGrant && part < to.Need && part < own.Part {
			return Grant{}
		}
		return Grant{To: to.Shard, Part: part}
	}
	if own.Part-to.Part < minDifference {
		return Grant{}
	}
	part := min(to.Need, (own.Part-to.Part)/shiftDivisor)
	if own.Part-part < own.Least || to.tasks(to.Part+part) == to.tasks(to.Part) {
		return Grant{}
	}
	return Grant{To: to.Shard, Part: part}
}

// tasks returns how many of the smallest held tasks could run with the part, or the part itself if
// their size is not known.
func (s Standing) tasks(part Part) Part {
	size := s.Least - s.Lasting
	if s.Least <= 0 || size <= 0 {
		return part
	}
	return max(0, part-s.Lasting) / size
}
