package dotterfault

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Always as the count of a backend fault applies it to every request until the fault is cleared.
const Always = -1

// Backend describes the faults of a backend server. HalfAnswers, Failures and
// Refusals are numbers of upcoming requests that are affected, or Always.
type Backend struct {
	Dead        bool               `json:",omitempty"` // not listening, all connections closed
	Frozen      bool               `json:",omitempty"` // blocks requests until the fault is cleared
	SlowFactor  float64            `json:",omitempty"` // multiplies the service time; 0 means 1
	LateMillis  dotterclock.Millis `json:",omitempty"` // delay between the end of the work and the answer
	HalfAnswers int                `json:",omitempty"` // sends half the answer and closes the connection
	Failures    int                `json:",omitempty"` // executes the request and answers with status 500
	Refusals    int                `json:",omitempty"` // answers 503 with Dotter-Not-Run without executing the request
	PadBytes    int                `json:",omitempty"` // zero bytes appended to each answer
	Leaving     bool               `json:",omitempty"` // announces in its answers that it is leaving
}
