package dotterpeer

import "slices"

// State is what an entry host tells the others about itself.
type State struct {
	Revision     int64    `json:",omitempty"` // configuration in force
	Incarnation  int64    `json:",omitempty"` // under which it is a member of its failure domain
	Epoch        int64    `json:",omitempty"` // membership epoch of its failure domain that it has adopted
	Acknowledged int64    `json:",omitempty"` // membership epoch that it has acknowledged
	FreeSlots    int      `json:",omitempty"`
	Leaving      bool     `json:",omitempty"`
	Shards       []string `json:",omitempty"`
}

// WithRevision returns a copy of s with the configuration revision in force.
func (s State) WithRevision(revision int64) State {
	s.Revision = revision
	return s
}

// WithMembership returns a copy of s with the membership epochs that it has
// adopted and acknowledged as the member of incarnation.
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

// WithLeaving returns a copy of s that is shutting down gracefully.
func (s State) WithLeaving() State {
	s.Leaving = true
	return s
}

// WithShards returns a copy of s that owns shards.
func (s State) WithShards(shards []string) State {
	s.Shards = slices.Clone(shards)
	return s
}

// urgent reports whether others wait for the change from former to s.
func (s State) urgent(former State) bool {
	former.FreeSlots = s.FreeSlots
	return !s.equal(former)
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

// loadMoved reports whether the load differs enough from former to be worth
// telling: by an eighth, or between some and none.
func (s State) loadMoved(former State) bool {
	if (s.FreeSlots == 0) != (former.FreeSlots == 0) {
		return true
	}
	difference := s.FreeSlots - former.FreeSlots
	return max(difference, -difference)*8 > former.FreeSlots
}
