package dotterslot

// assignmentCache caches the holders of one pool's indexes per epoch, because
// shares are recomputed at each acknowledgement and Assign sorts all candidates.
// It is guarded by the ledger's lock.
type assignmentCache struct {
	server  string
	kind    Kind
	count   int
	holders map[int64][]int // by epoch number
}

func newAssignmentCache(server string, kind Kind) *assignmentCache {
	return &assignmentCache{server: server, kind: kind, holders: map[int64][]int{}}
}

// resize sets the number of indexes. A new number clears the cache.
func (a *assignmentCache) resize(count int) {
	if count == a.count {
		return
	}
	a.count = count
	clear(a.holders)
}

// forEpoch returns the position in e's members forEpoch each index's holder.
func (a *assignmentCache) forEpoch(e Epoch) []int {
	holders, ok := a.holders[e.Number]
	if !ok {
		holders = Assign(e.Members, a.server, a.kind, a.count)
		a.holders[e.Number] = holders
	}
	return holders
}

// retain deletes the cached epochs that are not in view.
func (a *assignmentCache) retain(view View) {
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
