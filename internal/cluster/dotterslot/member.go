package dotterslot

// Member identifies a process on an entry host. A restarted process on the same
// host is a different Member.
type Member struct {
	Host        string
	Incarnation int64
}
