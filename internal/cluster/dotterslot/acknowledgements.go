package dotterslot

import "slices"

// maxAcknowledgements is the maximum number of acknowledgements stored per
// member. The oldest are dropped first, which can only delay the use of a slot.
const maxAcknowledgements = 128

// acknowledgements maps each member to the epochs it has acknowledged, ascending.
type acknowledgements map[Member][]int64

// add records that m acknowledged epoch and reports whether that was not yet recorded.
func (a acknowledgements) add(m Member, epoch int64) bool {
	epochs := a[m]
	at, found := slices.BinarySearch(epochs, epoch)
	if found {
		return false
	}
	epochs = slices.Insert(epochs, at, epoch)
	if len(epochs) > maxAcknowledgements {
		epochs = epochs[1:]
	}
	a[m] = epochs
	return true
}

// between reports whether m acknowledged an epoch in the range (low, high].
func (a acknowledgements) between(m Member, low, high int64) bool {
	epochs := a[m]
	at, _ := slices.BinarySearch(epochs, low+1)
	return at < len(epochs) && epochs[at] <= high
}

// retain deletes the acknowledgements of all members that are not in keep.
func (a acknowledgements) retain(keep map[Member]bool) {
	for m := range a {
		if !keep[m] {
			delete(a, m)
		}
	}
}
