package dottertruth

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Backend is the recorded state of one backend server.
type Backend struct {
	Name            string
	FailureDomain   string
	Service         string
	Slots           int
	Connections     int
	Requests        int // requests executed, including those still running
	Running         int
	MaxRunning      int
	Open            int // open connections
	MaxOpen         int
	Refused         int                // requests refused without being executed
	LastStartAt     dotterclock.Millis `json:",omitempty"`
	OverSlots       int                // requests that arrived while all slots were taken
	OverConnections int
}
