package dotterelusher

// Permits grants the use of this entry host's share of the backend servers' slots
// and connections. No two hosts hold the same slot or connection at the same time.
type Permits interface {
	// Slot acquires a free slot of server, or returns false if this host has none.
	Slot(server string) (Permit, bool)

	// Connection acquires a free connection of server, or returns false if this host has none.
	Connection(server string) (Permit, bool)

	// Slots returns how many slots of server this host may use and how many of them are free.
	Slots(server string) (usable, free int)

	// Changed returns a channel that is closed when this host's share of any server next changes.
	Changed() <-chan struct{}
}

// Permit is one slot or connection in use.
type Permit interface {
	// Release returns the permit; it must be called at most once.
	Release()

	// Withdrawn returns a channel that is closed when the permit is to move to
	// another host: a slot is kept until its request has ended, an idle connection
	// is closed at once, a busy one after its request.
	Withdrawn() <-chan struct{}
}
