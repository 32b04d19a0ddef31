package dotterpeer

import "slices"

// State is the state of an entry host that it sends to the others in heartbeats.
type State struct {
	Revision     int64    `json:",omitempty"` // revision of the configuration in force
	Incarnation  int64    `json:",omitempty"` // incarnation under which it is a member of its failure domain
	Epoch        int64    `json:",omitempty"` // latest membership epoch of its failure domain that it has adopted
	Acknowledged int64    `json:",omitempty"` // latest membership epoch that it has acknowledged
	FreeSlots    int      `json:",omitempty"`
	Leaving      bool     `json:",omitempty"`
	Shards       []string `json:",omitempty"`
}

// WithRevision returns a copy of s with the configuration revision in force.
func (s State) WithRevision(revision int64) State {
	s.Revision = revision
	return s
}

// WithMembership returns a copy of s with the membership epochs that the host has
// adopted and acknowledged as the member with the given incarnation.
func (s State) WithMembership(incarnation, epoch, acknowledged int64) State {
	s.Incarnation = incarnation
	s.Epoch = epoch
	s.Acknowledged = acknowledged
	return s
}

// WithFreeSlots returns a copy of s with the number of free slots.
func (s State) WithFreeSlots(free int) State {
	s.FreeSlots = free
	return s
}

// WithLeaving returns a copy of s that announces a graceful shutdown.
func (s State) WithLeaving() State {
	s.Leaving = true
	return s
}

// WithShards returns a copy of s with the task shards that the host owns.
func (s State) WithShards(shards []string) State {
	s.Shards = slices.Clone(shards)
	return s
}

// changedUrgently reports whether s differs from previous in more than the number of
// free slots. Other hosts wait for such changes.
func (s State) changedUrgently(previous State) bool {
	previous.FreeSlots = s.FreeSlots
	return !s.equal(previous)
}

func (s State) equal(o State) bool {
	return s.Revision == o.Revision &&
		s.Incarnation == o.Incarnation &&
		s.Epoch == o.Epoch &&
		s.Acknowledged == o.Acknowledged &&
		s.FreeSlots == o.FreeSlots &&
		s.Leaving == o.Leaving &&
		slices.Equal(s.Shards, o.Shards)
}

// loadChanged reports whether the number of free slots differs enough from previous
// to be sent: by more than an eighth, or between zero and more.
func (s State) loadChanged(previous State) bool {
	if (s.FreeSlots == 0) != (previous.FreeSlots == 0) {
		return true
	}
	difference := s.FreeSlots - previous.FreeSlots
	return max(difference, -difference)*8 > previous.FreeSlots
}
