package dotterplatform

import (
	"net/http"

	"goji.io"
	"goji.io/pat"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterwire"
)

// hangTimeout limits how long a call that gets no answer is kept open.
const hangTimeout = 30 * dotterclock.Second

func (p *Platform) registerList(mux *goji.Mux) {
	mux.HandleFunc(pat.Get(dotterwire.PathHosts), p.serveList)
	mux.HandleFunc(pat.Put(dotterwire.PathHost+":name"), p.putHost)
	mux.HandleFunc(pat.Delete(dotterwire.PathHost+":name"), p.deleteHost)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	if p.partitions.List(r.Header.Get(dotterwire.HeaderClient)) {
		select {
		case <-r.Context().Done():
		case <-p.clock.After(hangTimeout):
		}
		panic(http.ErrAbortHandler)
	}
	dotterwire.Answer(w, p.list.Hosts())
}

func (p *Platform) putHost(w http.ResponseWriter, r *http.Request) {
	var host dotterhost.Host
	if !dotterwire.Read(w, r, &host) {
		return
	}
	host.Name = pat.Param(r, "name")
	p.list.Set(host)
	dotterwire.Answer(w, host)
}

func (p *Platform) deleteHost(w http.ResponseWriter, r *http.Request) {
	p.list.Remove(pat.Param(r, "name"))
	dotterwire.Answer(w, struct{}{})
}
