package dottermember

import "github.com/dotterelusher/dotterelusher/internal/cluster/dotterslot"

// Member is one process of an entry host in the record.
type Member struct {
	Host        string
	Incarnation int64
	Address     string // IP:port at which peers reach it
}

// identity returns who m is for the share of slots.
func (m Member) identity() dotterslot.Member {
	return dotterslot.Member{Host: m.Host, Incarnation: m.Incarnation}
}
