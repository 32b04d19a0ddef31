package dotterslot

import (
	"sync/atomic"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// server holds the pools of one backend server.
type server struct {
	slots             *pool
	connections       *pool
	slotHolders       *assignmentCache
	connectionHolders *assignmentCache
}

func newServer(name string, totalExcess *atomic.Int64, onExcessReleased func()) *server {
	return &server{
		slots:             newPool(totalExcess, onExcessReleased),
		connections:       newPool(totalExcess, onExcessReleased),
		slotHolders:       newAssignmentCache(name, KindSlot),
		connectionHolders: newAssignmentCache(name, KindConnection),
	}
}

// resize sets the capacity of the server. The zero Host stands for a server that
// is no longer listed.
func (s *server) resize(h dotterhost.Host) {
	s.slotHolders.resize(h.Slots)
	s.connectionHolders.resize(h.Connections)
}

// apply recomputes the shares of both pools.
func (s *server) apply(r shareRule) {
	s.slots.apply(r.shares(s.slotHolders))
	s.connections.apply(r.shares(s.connectionHolders))
}

// removable reports whether s already has no capacity and none of its permits is
// in use.
func (s *server) removable() bool {
	noCapacity := s.slotHolders.count == 0 && s.connectionHolders.count == 0
	return noCapacity && s.slots.idle() && s.connections.idle()
}
