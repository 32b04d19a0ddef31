package dotterpeer

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Names of the methods that the mesh itself handles.
const (
	methodHello     = "Hello"
	methodHeartbeat = "Beat"
)

// heartbeat is the message that both ends of a link send periodically. A field
// that is left out has not changed since the previous heartbeat on the link.
type heartbeat struct {
	Period    dotterclock.Millis `json:",omitempty"` // time until the sender's next heartbeat
	State     *State             `json:",omitempty"`
	FreeSlots *int               `json:",omitempty"` // set if only this part of the state has changed
	Ask       bool               `json:",omitempty"` // asks the receiver to send a heartbeat at once
}
