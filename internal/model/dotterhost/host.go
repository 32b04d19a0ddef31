package dotterhost

import "github.com/dotterelusher/dotterelusher/internal/model/dotterroom"

// Role is the function of a listed host.
type Role string

// The roles of listed hosts.
const (
	RoleEntry   Role = "Entry"
	RoleWorker  Role = "Worker"
	RoleBackend Role = "Backend"
)

// State is whether a listed host accepts new work or is leaving.
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
	Incarnation   int64           // increases each time a process starts under the same name
	Capacity      dotterroom.Room // workers only
	Service       string          // backend servers only: name of the template they serve
	Slots         int             // backend servers only: maximum concurrent requests
	Connections   int             // backend servers only: maximum open connections
}

// Live reports whether h accepts new work.
func (h Host) Live() bool {
	return h.State == StateLive
}

// WithState returns a copy of h with the given state.
func (h Host) WithState(state State) Host {
	h.State = state
	return h
}
