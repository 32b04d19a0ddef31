package dotterservice

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// leavingMillis is how long a server's own word that it leaves counts against a
// list that still shows it as live.
const leavingMillis = 30 * dotterclock.Second

// server is one backend server of a service.
type server struct {
	host         dotterhost.Host
	usable       int // slots that this host may use
	inFlight     int // slots in use, those of lost requests included
	leavingUntil dotterclock.Millis
}

func (s *server) free(now dotterclock.Millis) bool {
	return s.inFlight < s.usable && now >= s.leavingUntil
}
