package dotterelusher

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Router chooses the backend server of a request among those of one service. It
// is called with that service's lock held, so by one goroutine at a time.
type Router interface {
	// Choose returns the index of the candidate to send the request to, or false
	// if the request is expected to complete sooner by waiting for another slot
	// than on any candidate. wait is the expected wait for that slot.
	Choose(now dotterclock.Millis, candidates []RouteCandidate, wait dotterclock.Millis) (int, bool)

	// RecordResult records how a request to server ended.
	RecordResult(server string, result RouteResult)

	// Retain discards the state of every server that is not in servers.
	Retain(servers []string)
}

// RouteCandidate is a backend server that has a free slot for the request.
type RouteCandidate struct {
	Server   string
	Slots    int // slots this host may use
	InFlight int // how many of Slots are in use
}

// RouteResult is the result of a request to a backend server.
type RouteResult struct {
	At          dotterclock.Millis // when the request ended
	Latency     dotterclock.Millis // from sending the request to the response headers, or to the failure
	Failed      bool               // no response arrived, or one that reports a server error
	Unreachable bool               // no connection to the server could be established
}
