package dotterpeer

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Methods of the mesh itself.
const (
	methodHello = "Hello"
	methodBeat  = "Beat"
)

// beat is a heartbeat. What is absent is as it was in the last one on this link.
type beat struct {
	Period    dotterclock.Millis `json:",omitempty"` // span until the next beat
	State     *State             `json:",omitempty"`
	FreeSlots *int               `json:",omitempty"` // when nothing else of the state has changed
	Ask       bool               `json:",omitempty"` // asks for a beat at once
}
