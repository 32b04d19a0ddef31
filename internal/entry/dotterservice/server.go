package dotterservice

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// leavingTTLMillis is how long a server's announcement that it is leaving takes
// precedence over a directory that still lists it as live.
const leavingTTLMillis = 30 * dotterclock.Second

// server is one backend server of a service.
type server struct {
	host         dotterhost.Host
	usable       int                // slots that this host may use
	inFlight     int                // slots in use, including those of lost requests
	leavingUntil dotterclock.Millis // no new requests before this instant
}

func (s *server) hasFreeSlot(now dotterclock.Millis) bool {
	return s.inFlight < s.usable && now >= s.leavingUntil
}
