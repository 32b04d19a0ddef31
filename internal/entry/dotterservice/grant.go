package dotterservice

import (
	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// Grant is a slot of a backend server, held for one request.
type Grant struct {
	Host    dotterhost.Host
	service *Service
	server  *server
	permit  dotterelusher.Permit
}

// Report tells the router how the request ended.
func (g *Grant) Report(result dotterelusher.RouteResult) {
	g.service.report(g.server, result)
}

// MarkLeaving notes that the server said it leaves: it gets nothing new.
func (g *Grant) MarkLeaving() {
	g.service.markLeaving(g.server)
}

// Release gives the slot back; it may be called once.
func (g *Grant) Release() {
	g.permit.Release()
	g.service.released(g.server)
}

// ReleaseAfter gives the slot back once ended is closed.
func (g *Grant) ReleaseAfter(ended <-chan struct{}) {
	go func() {
		<-ended
		g.Release()
	}()
}
