package dotterslot

// share is a member's right to one index.
type share struct {
	held   bool
	usable bool
}

// shareRule determines the shares of one member under one view.
type shareRule struct {
	self        Member
	view        View
	hasReleased func(m Member, epoch, limit int64) bool // m released what it held in epoch, by acknowledging an epoch up to limit or being gone
	isMember    bool
}

func newShareRule(self Member, view View, hasReleased func(Member, int64, int64) bool) shareRule {
	return shareRule{self: self, view: view, hasReleased: hasReleased, isMember: view.Current.Has(self)}
}

// shares returns self's share of each index of one pool.
func (r shareRule) shares(holders *assignmentCache) []share {
	holders.retain(r.view)
	shares := make([]share, holders.count)
	if !r.isMember {
		return shares
	}
	for i, h := range holders.forEpoch(r.view.Current) {
		held := r.view.Current.Members[h] == r.self
		shares[i] = share{held: held, usable: held}
	}
	for _, e := range r.view.Open {
		r.excludeUnreleased(shares, e, holders)
	}
	return shares
}

// excludeUnreleased marks the indexes as unusable that another member held in the
// open epoch e and may still be using.
func (r shareRule) excludeUnreleased(shares []share, e Epoch, holders *assignmentCache) {
	if len(e.Members) == 0 || e.Number >= r.view.Current.Number {
		return
	}
	mayUse := make([]bool, len(e.Members))
	for i, m := range e.Members {
		mayUse[i] = m != r.self && !r.hasReleased(m, e.Number, r.view.Current.Number)
	}
	for i, h := range holders.forEpoch(e) {
		if mayUse[h] {
			shares[i].usable = false
		}
	}
}
