package dottertruth

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Execution is one execution of a request on a backend server.
type Execution struct {
	Request   string
	Backend   string
	StartedAt dotterclock.Millis
	EndedAt   dotterclock.Millis `json:",omitempty"`
}
