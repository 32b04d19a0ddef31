package dotterslot

import "github.com/dotterelusher/dotterelusher/internal/model/dotterhost"

// server is a backend server with its two pools.
type server struct {
	slots       *pool
	connections *pool
	limits      limits
}

// limits are what a backend server takes at a time; zero for one no longer listed.
type limits struct {
	slots       int
	connections int
}

func limitsOf(h dotterhost.Host) limits {
	return limits{slots: h.Slots, connections: h.Connections}
}

// apply recomputes both pools under r.
func (s *server) apply(r rule) {
	s.slots.apply(r.shares(s.slots.server, KindSlot, s.limits.slots))
	s.connections.apply(r.shares(s.connections.server, KindConnection, s.limits.connections))
}

// idle reports whether no permit of s is in use.
func (s *server) idle() bool {
	return s.slots.idle() && s.connections.idle()
}
