package dotterservice

import (
	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// Grant is a slot of a backend server that is held by one request.
type Grant struct {
	Host    dotterhost.Host
	service *Service
	server  *server
	permit  dotterelusher.Permit
}

// Report passes the result of the request to the router.
func (g *Grant) Report(result dotterelusher.RouteResult) {
	g.service.report(g.server, result)
}

// MarkLeaving records that the server announced that it is leaving, so that it
// gets no new requests.
func (g *Grant) MarkLeaving() {
	g.service.markLeaving(g.server)
}

// Release returns the slot. It must not be called more than once.
func (g *Grant) Release() {
	g.permit.Release()
	g.service.released(g.server)
}

// ReleaseAfter returns the slot in the background when ended is closed.
func (g *Grant) ReleaseAfter(ended <-chan struct{}) {
	go func() {
		<-ended
		g.Release()
	}()
}
