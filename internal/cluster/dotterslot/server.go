package dotterslot

import (
	"sync/atomic"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// server is a backend server with its two pools.
type server struct {
	slots             *pool
	connections       *pool
	slotHolders       *assignments
	connectionHolders *assignments
}

func newServer(name string, strays *atomic.Int64, released func()) *server {
	return &server{
		slots:             newPool(strays, released),
		connections:       newPool(strays, released),
		slotHolders:       newAssignments(name, KindSlot),
		connectionHolders: newAssignments(name, KindConnection),
	}
}

// resize sets what the server takes at a time; a server no longer listed takes nothing.
func (s *server) resize(h dotterhost.Host) {
	s.slotHolders.resize(h.Slots)
	s.connectionHolders.resize(h.Connections)
}

// apply recomputes both pools under r.
func (s *server) apply(r rule) {
	s.slots.apply(r.shares(s.slotHolders))
	s.connections.apply(r.shares(s.connectionHolders))
}

// closed reports whether s has been taking nothing since an earlier change and
// no permit of it is in use.
func (s *server) closed() bool {
	shrunk := s.slotHolders.count == 0 && s.connectionHolders.count == 0
	return shrunk && s.slots.idle() && s.connections.idle()
}
