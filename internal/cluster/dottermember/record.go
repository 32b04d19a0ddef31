package dottermember

import (
	"cmp"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterslot"
)

// keyPrefix is the prefix of the store keys of records. The name of the failure domain follows.
const keyPrefix = "members/"

// maxOpenEpochs is the maximum number of open epochs. While it is reached, a
// process that wants to join waits.
const maxOpenEpochs = 64

// Record is the membership of one failure domain.
type Record struct {
	Revision int64 // incremented by each change
	Current  Epoch
	Open     []Epoch  `json:",omitempty"` // earlier epochs that some member may not have released, ascending
	Gone     []Member `json:",omitempty"` // members of open epochs that are proved gone
}

// View converts r to the type of package dotterslot.
func (r Record) View() dotterslot.View {
	view := dotterslot.View{Current: r.Current.slotEpoch()}
	for _, e := range r.Open {
		view.Open = append(view.Open, e.slotEpoch())
	}
	for _, m := range r.Gone {
		view.Gone = append(view.Gone, m.slotMember())
	}
	return view
}

// Has reports whether m is a member of the current epoch.
func (r Record) Has(m Member) bool {
	return slices.Contains(r.Current.Members, m)
}

// notGone returns the members of the current and the open epochs that are not proved gone.
func (r Record) notGone() []Member {
	var members []Member
	for _, e := range append(slices.Clone(r.Open), r.Current) {
		for _, m := range e.Members {
			if slices.Contains(r.Gone, m) || slices.Contains(members, m) {
				continue
			}
			members = append(members, m)
		}
	}
	return members
}

// WithJoined returns r with m as a member. It returns r unchanged and false if
// maxOpenEpochs epochs are open. Other processes at m's address are marked gone,
// since m has bound the address.
func (r Record) WithJoined(m Member) (Record, bool) {
	if r.Has(m) {
		return r, true
	}
	if len(r.Open) >= maxOpenEpochs {
		return r, false
	}
	for _, o := range r.notGone() {
		if o.Address == m.Address && o != m {
			r.Gone = append(slices.Clone(r.Gone), o)
		}
	}
	members := without(r.Current.Members, func(o Member) bool { return o.Address == m.Address })
	return r.withEpoch(append(members, m)), true
}

// WithLeft returns r without m in the member list. m's share does not become free
// until m has acknowledged the new epoch or is marked gone.
func (r Record) WithLeft(m Member) Record {
	if !r.Has(m) {
		return r
	}
	return r.withEpoch(without(r.Current.Members, func(o Member) bool { return o == m }))
}

// WithGone returns r with m marked as proved gone and removed from the member list.
func (r Record) WithGone(m Member) Record {
	if !slices.Contains(r.notGone(), m) {
		return r
	}
	r = r.WithLeft(m)
	r.Gone = append(slices.Clone(r.Gone), m)
	r.Revision++
	return r.pruned()
}

// WithClosed returns r without the open epochs that all their members have released.
func (r Record) WithClosed(hasReleased func(m Member, epoch int64) bool) Record {
	var open []Epoch
	for _, e := range r.Open {
		if slices.ContainsFunc(e.Members, func(m Member) bool { return !hasReleased(m, e.Number) }) {
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

// withEpoch returns r with a new current epoch that consists of members.
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

// pruned returns r without the gone members that are in no open epoch.
func (r Record) pruned() Record {
	r.Gone = without(r.Gone, func(m Member) bool {
		return !slices.ContainsFunc(r.Open, func(e Epoch) bool { return slices.Contains(e.Members, m) })
	})
	return r
}

// without returns a copy of members without those for which drop returns true.
func without(members []Member, drop func(Member) bool) []Member {
	return slices.DeleteFunc(slices.Clone(members), drop)
}
