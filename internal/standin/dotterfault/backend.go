package dotterfault

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Always makes a counted backend fault last until it is lifted.
const Always = -1

// Backend is what is wrong with a backend server. The counts are of the next
// requests that it befalls; Always befalls all.
type Backend struct {
	Dead        bool               `json:",omitempty"` // not listening, connections closed
	Frozen      bool               `json:",omitempty"` // does nothing until it is thawed
	SlowFactor  float64            `json:",omitempty"` // factor on the service time, above 0; 0 means 1
	LateMillis  dotterclock.Millis `json:",omitempty"` // from the end of the work to the answer
	HalfAnswers int                `json:",omitempty"` // sends half the body and closes
	Failures    int                `json:",omitempty"` // runs the request and answers with status 500
	Refusals    int                `json:",omitempty"` // answers 503 with Dotter-Not-Run and doesn't run it
	PadBytes    int                `json:",omitempty"` // added to each answer
	Leaving     bool               `json:",omitempty"` // says in its answers that it is leaving
}
