package dottermember

import "github.com/dotterelusher/dotterelusher/internal/cluster/dotterslot"

// Epoch is the member list of one epoch.
type Epoch struct {
	Number  int64
	Members []Member
}

// shares returns e as package dotterslot needs it.
func (e Epoch) shares() dotterslot.Epoch {
	members := make([]dotterslot.Member, len(e.Members))
	for i, m := range e.Members {
		members[i] = m.identity()
	}
	return dotterslot.Epoch{Number: e.Number, Members: members}
}
