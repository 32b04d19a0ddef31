package dottermember

import (
	"cmp"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterslot"
)

// keyPrefix is the prefix of the records' store keys; the failure domain's name follows.
const keyPrefix = "members/"

// openLimit is the most epochs that may be open; a process that wants to join
// beyond it waits.
const openLimit = 64

// Record is the membership of one failure domain.
type Record struct {
	Revision int64 // rises by one with each change
	Current  Epoch
	Open     []Epoch  `json:",omitempty"` // earlier epochs that some member may not have let go of, ascending
	Gone     []Member `json:",omitempty"` // members of open epochs that are proved gone
}

// View returns r as package dotterslot needs it.
func (r Record) View() dotterslot.View {
	view := dotterslot.View{Current: r.Current.shares()}
	for _, e := range r.Open {
		view.Open = append(view.Open, e.shares())
	}
	for _, m := range r.Gone {
		view.Gone = append(view.Gone, m.identity())
	}
	return view
}

// Has reports whether m is a member in the current epoch.
func (r Record) Has(m Member) bool {
	return slices.Contains(r.Current.Members, m)
}

// awaited returns every member of the current and the open epochs that is not proved gone.
func (r Record) awaited() []Member {
	var awaited []Member
	for _, e := range append(slices.Clone(r.Open), r.Current) {
		for _, m := range e.Members {
			if slices.Contains(r.Gone, m) || slices.Contains(awaited, m) {
				continue
			}
			awaited = append(awaited, m)
		}
	}
	return awaited
}

// WithJoined returns r with m as a member, and false if there is no room for
// another epoch. Other processes at m's address are gone, since m has bound it.
func (r Record) WithJoined(m Member) (Record, bool) {
	if r.Has(m) {
		return r, true
	}
	if len(r.Open) >= openLimit {
		return r, false
	}
	for _, o := range r.awaited() {
		if o.Address == m.Address && o != m {
			r.Gone = append(slices.Clone(r.Gone), o)
		}
	}
	members := without(r.Current.Members, func(o Member) bool { return o.Address == m.Address })
	return r.withEpoch(append(members, m)), true
}

// WithLeft returns r without m among the members. Its share is not free before
// it has acknowledged that or is marked gone.
func (r Record) WithLeft(m Member) Record {
	if !r.Has(m) {
		return r
	}
	return r.withEpoch(without(r.Current.Members, func(o Member) bool { return o == m }))
}

// WithGone returns r with m proved gone, and not a member.
func (r Record) WithGone(m Member) Record {
	if !slices.Contains(r.awaited(), m) {
		return r
	}
	r = r.WithLeft(m)
	r.Gone = append(slices.Clone(r.Gone), m)
	r.Revision++
	return r.pruned()
}

// WithClosed returns r without the open epochs that every member has let go of.
func (r Record) WithClosed(letGo func(m Member, epoch int64) bool) Record {
	var open []Epoch
	for _, e := range r.Open {
		if slices.ContainsFunc(e.Members, func(m Member) bool { return !letGo(m, e.Number) }) {
			open = append(open, e)
		}
	}
	if len(open) == len(r.Open) {
		return r
	}
	r.Open = open
	r.Revision++
	return r.pruned()
}

// withEpoch starts a new epoch with members.
func (r Record) withEpoch(members []Member) Record {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	if r.Current.Number > 0 && len(r.Current.Members) > 0 {
		r.Open = append(slices.Clone(r.Open), r.Current)
	}
	r.Current = Epoch{Number: r.Current.Number + 1, Members: members}
	r.Revision++
	return r
}

// pruned forgets the gone members of which no open epoch knows.
func (r Record) pruned() Record {
	r.Gone = without(r.Gone, func(m Member) bool {
		return !slices.ContainsFunc(r.Open, func(e Epoch) bool { return slices.Contains(e.Members, m) })
	})
	return r
}

// without returns a copy of members less those that drop selects.
func without(members []Member, drop func(Member) bool) []Member {
	return slices.DeleteFunc(slices.Clone(members), drop)
}
