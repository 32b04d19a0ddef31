package dotterslot

// share says what this member may do with one index.
type share struct {
	mine   bool
	usable bool
}

// rule decides on shares for one view and one member.
type rule struct {
	self   Member
	view   View
	letGo  func(m Member, epoch, limit int64) bool // m let go of what it held in epoch, by a promise of at most limit
	member bool
}

func newRule(self Member, view View, letGo func(Member, int64, int64) bool) rule {
	return rule{self: self, view: view, letGo: letGo, member: view.Current.Has(self)}
}

// shares returns the shares of self in one pool.
func (r rule) shares(holders *assignments) []share {
	holders.keepOnly(r.view)
	shares := make([]share, holders.count)
	if !r.member {
		return shares
	}
	for i, h := range holders.of(r.view.Current) {
		mine := r.view.Current.Members[h] == r.self
		shares[i] = share{mine: mine, usable: mine}
	}
	for _, e := range r.view.Open {
		r.exclude(shares, e, holders)
	}
	return shares
}

// exclude makes those shares unusable that another member held in the open
// epoch e and may still be using.
func (r rule) exclude(shares []share, e Epoch, holders *assignments) {
	if len(e.Members) == 0 || e.Number >= r.view.Current.Number {
		return
	}
	holding := make([]bool, len(e.Members))
	for i, m := range e.Members {
		holding[i] = m != r.self && !r.letGo(m, e.Number, r.view.Current.Number)
	}
	for i, h := range holders.of(e) {
		if holding[h] {
			shares[i].usable = false
		}
	}
}
