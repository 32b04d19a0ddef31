package dotterhost

import "github.com/dotterelusher/dotterelusher/internal/model/dotterroom"

// Role says what a listed host is for.
type Role string

// The roles of listed hosts.
const (
	RoleEntry   Role = "Entry"
	RoleWorker  Role = "Worker"
	RoleBackend Role = "Backend"
)

// State says whether a listed host stays or leaves.
type State string

// The states of listed hosts.
const (
	StateLive    State = "Live"
	StateLeaving State = "Leaving"
)

// Host is one row of the platform's host list.
type Host struct {
	Name          string
	Address       string // IP:port
	FailureDomain string
	Rack          string
	Role          Role
	State         State
	Incarnation   int64           // rises each time a process starts at the same name
	Capacity      dotterroom.Room // workers only
	Service       string          // backend servers only: the template they serve
	Slots         int             // backend servers only: requests at a time
	Connections   int             // backend servers only: open connections at a time
}

// Live reports whether h takes new work.
func (h Host) Live() bool {
	return h.State == StateLive
}

// WithState returns a copy of h in state.
func (h Host) WithState(state State) Host {
	h.State = state
	return h
}
