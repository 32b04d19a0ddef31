package dotterelusher

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Router chooses the backend server of a request among those of one service. It
// is called under that service's lock, so by one goroutine at a time.
type Router interface {
	// Choose returns the index of the candidate to send to, or false when
	// waiting is expected to end sooner than sending to any of them; wait is how
	// long a request that waits now is expected to wait for a further slot.
	Choose(now dotterclock.Millis, candidates []RouteCandidate, wait dotterclock.Millis) (int, bool)

	// RecordResult takes in how a request to server ended.
	RecordResult(server string, result RouteResult)

	// Retain forgets every server that is not in servers.
	Retain(servers []string)
}

// RouteCandidate is a backend server that has a free slot for the request.
type RouteCandidate struct {
	Server   string
	Slots    int // slots that this host may use
	InFlight int // slots of these in use
}

// RouteResult is how a request to a backend server ended.
type RouteResult struct {
	At          dotterclock.Millis // when it ended
	Latency     dotterclock.Millis // from sending to the head of the answer, or to the loss
	Failed      bool               // no answer came, or one that tells of a fault
	Unreachable bool               // the server could not be connected to
}
