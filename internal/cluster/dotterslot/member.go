package dotterslot

// Member is one process on an entry host. A process that is started again on
// the same host is another Member.
type Member struct {
	Host        string
	Incarnation int64
}
