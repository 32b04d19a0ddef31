package dotterpeer

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Methods of the mesh itself.
const (
	methodHello = "Hello"
	methodBeat  = "Beat"
)

// beat is a heartbeat.
type beat struct {
	Period dotterclock.Millis `json:",omitempty"` // span until the next beat; absent: as before
	State  *State             `json:",omitempty"` // absent: as before on this link
}
