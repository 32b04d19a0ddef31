package dotterelusher

// Permits hands out this entry host's share of the backend servers' slots and
// connections. What one host holds no other host holds at the same time.
type Permits interface {
	// Slot takes a free slot of server, or reports that this host has none.
	Slot(server string) (Permit, bool)

	// Connection takes a free connection of server, or reports that this host has none.
	Connection(server string) (Permit, bool)

	// Slots returns how many slots of server this host may use and how many of them are free.
	Slots(server string) (usable, free int)

	// Changed returns a channel that is closed at the next change of any share.
	Changed() <-chan struct{}
}

// Permit is one slot or connection in use.
type Permit interface {
	// Release gives the permit back; it may be called once.
	Release()

	// Withdrawn returns a channel that is closed when another host is to have
	// the permit: a slot is kept until its request has ended, an idle connection
	// is closed at once, a busy one after its request.
	Withdrawn() <-chan struct{}
}
