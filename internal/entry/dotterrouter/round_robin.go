package dotterrouter

import (
	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// RoundRobin cycles through the servers that have a free slot, in order of name.
type RoundRobin struct {
	last string // name of the server chosen last
}

var _ dotterelusher.Router = (*RoundRobin)(nil)

// NewRoundRobin returns a router that starts with the first server by name.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{}
}

// Choose returns the candidate whose name follows that of the server chosen last,
// and wraps around after the last name.
func (r *RoundRobin) Choose(_ dotterclock.Millis, candidates []dotterelusher.RouteCandidate, _ dotterclock.Millis) (int, bool) {
	first, next := -1, -1
	for i, c := range candidates {
		if first < 0 || c.Server < candidates[first].Server {
			first = i
		}
		if c.Server > r.last && (next < 0 || c.Server < candidates[next].Server) {
			next = i
		}
	}
	if next < 0 {
		next = first
	}
	if next < 0 {
		return 0, false
	}
	r.last = candidates[next].Server
	return next, true
}

// RecordResult ignores the result.
func (r *RoundRobin) RecordResult(string, dotterelusher.RouteResult) {}

// Retain does nothing: only the name of the last choice is kept.
func (r *RoundRobin) Retain([]string) {}
