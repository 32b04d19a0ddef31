package dotterslot

// assignments remembers the holders of one pool's indexes by epoch, since the
// rule is applied anew at each acknowledgement and Assign sorts all claims. The
// ledger's lock guards it.
type assignments struct {
	server  string
	kind    Kind
	count   int
	holders map[int64][]int // by epoch number
}

func newAssignments(server string, kind Kind) *assignments {
	return &assignments{server: server, kind: kind, holders: map[int64][]int{}}
}

// resize sets the number of indexes.
func (a *assignments) resize(count int) {
	if count == a.count {
		return
	}
	a.count = count
	clear(a.holders)
}

// of returns the position in e's members of each index's holder.
func (a *assignments) of(e Epoch) []int {
	holders, ok := a.holders[e.Number]
	if !ok {
		holders = Assign(e.Members, a.server, a.kind, a.count)
		a.holders[e.Number] = holders
	}
	return holders
}

// keepOnly forgets the epochs that view does not hold.
func (a *assignments) keepOnly(view View) {
	keep := map[int64]bool{view.Current.Number: true}
	for _, e := range view.Open {
		keep[e.Number] = true
	}
	for number := range a.holders {
		if !keep[number] {
			delete(a.holders, number)
		}
	}
}
