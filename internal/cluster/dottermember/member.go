package dottermember

import "github.com/dotterelusher/dotterelusher/internal/cluster/dotterslot"

// Member is a process of an entry host, as stored in the record.
type Member struct {
	Host        string
	Incarnation int64
	Address     string // IP:port at which peers reach it
}

// slotMember converts m to the type of package dotterslot.
func (m Member) slotMember() dotterslot.Member {
	return dotterslot.Member{Host: m.Host, Incarnation: m.Incarnation}
}
