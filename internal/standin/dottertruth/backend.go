package dottertruth

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Backend is the truth about one backend server.
type Backend struct {
	Name            string
	FailureDomain   string
	Service         string
	Slots           int
	Connections     int
	Requests        int // executed, those that run now included
	Running         int
	MaxRunning      int
	Open            int // connections
	MaxOpen         int
	Refused         int                // answered as not run
	LastStartAt     dotterclock.Millis `json:",omitempty"`
	OverSlots       int                // requests that found every slot taken
	OverConnections int
}
