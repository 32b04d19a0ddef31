package dotterquota

import "github.com/dotterelusher/dotterelusher/internal/model/dotterroom"

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

// Valid reports whether all parts are between nothing and the whole.
func (s Standing) Valid() bool {
	return min(s.Part, s.Need, s.Unused) >= 0 && max(s.Part, s.Need, s.Unused) <= Whole
}

// Grant is a part that a shard gives to another one.
type Grant struct {
	To   string // empty: none
	Part Part
}

// Give returns what a shard gives of its part: what it does not use, to the shard that needs the
// most. A shard that needs its part itself gives to one that has much less and needs more too; it
// can do so only as its runs end.
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
	return Grant{To: to.Shard, Part: min(to.Need, (own.Part-to.Part)/shiftDivisor)}
}
