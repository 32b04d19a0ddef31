package dottermember

import "github.com/dotterelusher/dotterelusher/internal/cluster/dotterslot"

// Epoch is a member list and its number.
type Epoch struct {
	Number  int64
	Members []Member
}

// slotEpoch converts e to the type of package dotterslot.
func (e Epoch) slotEpoch() dotterslot.Epoch {
	members := make([]dotterslot.Member, len(e.Members))
	for i, m := range e.Members {
		members[i] = m.slotMember()
	}
	return dotterslot.Epoch{Number: e.Number, Members: members}
}
