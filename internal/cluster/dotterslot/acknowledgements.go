package dotterslot

import "slices"

// keptAcknowledgements bounds the acknowledgements remembered of one member;
// the oldest go first, which can only delay the use of a slot.
const keptAcknowledgements = 128

// acknowledgements are the epochs that each member has acknowledged.
type acknowledgements map[Member][]int64

// add records that m acknowledged epoch and reports whether that is news.
func (a acknowledgements) add(m Member, epoch int64) bool {
	epochs := a[m]
	at, found := slices.BinarySearch(epochs, epoch)
	if found {
		return false
	}
	epochs = slices.Insert(epochs, at, epoch)
	if len(epochs) > keptAcknowledgements {
		epochs = epochs[1:]
	}
	a[m] = epochs
	return true
}

// between reports whether m acknowledged an epoch above low and at most high.
func (a acknowledgements) between(m Member, low, high int64) bool {
	epochs := a[m]
	at, _ := slices.BinarySearch(epochs, low+1)
	return at < len(epochs) && epochs[at] <= high
}

// keepOnly forgets every member that keep does not hold.
func (a acknowledgements) keepOnly(keep map[Member]bool) {
	for m := range a {
		if !keep[m] {
			delete(a, m)
		}
	}
}
