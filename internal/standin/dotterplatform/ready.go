package dotterplatform

import "github.com/dotterelusher/dotterelusher/internal/model/dotterhost"

// Ready is the line that the stand-in prints when it serves.
type Ready struct {
	Platform string            // IP:port of store, host list, control calls and truth
	Pid      int               // of the stand-in
	Hosts    []dotterhost.Host // workers and backend servers
}
