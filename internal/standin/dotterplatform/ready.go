package dotterplatform

import "github.com/dotterelusher/dotterelusher/internal/model/dotterhost"

// Ready is the JSON line that the stand-in prints once it is serving.
type Ready struct {
	Platform string            // IP:port of store, host list, control calls and recorded truth
	Pid      int               // process ID of the stand-in
	Hosts    []dotterhost.Host // workers and backend servers
}
