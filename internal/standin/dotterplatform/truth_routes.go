package dotterplatform

import (
	"net/http"

	"github.com/rotisserie/eris"
	"goji.io"
	"goji.io/pat"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterwire"
	"github.com/dotterelusher/dotterelusher/internal/standin/dottertruth"
)

// errNoHost reports that a control call names an unknown host.
var errNoHost = eris.New("stand-in: there is no such host")

func (p *Platform) registerTruth(mux *goji.Mux) {
	mux.HandleFunc(pat.Get(dottertruth.PathTruth), func(w http.ResponseWriter, _ *http.Request) {
		dotterwire.Answer(w, p.recorder.Truth())
	})
	mux.HandleFunc(pat.Get(dottertruth.PathExecutions), func(w http.ResponseWriter, _ *http.Request) {
		dotterwire.Answer(w, p.recorder.Executions())
	})
	mux.HandleFunc(pat.Post(dottertruth.PathReset), func(w http.ResponseWriter, _ *http.Request) {
		p.recorder.Reset()
		dotterwire.Answer(w, struct{}{})
	})
}

// findHost returns the worker or backend server with the given name.
func (p *Platform) findHost(name string) (dotterhost.Host, bool) {
	for _, h := range p.hosts() {
		if h.Name == name {
			return h, true
		}
	}
	return dotterhost.Host{}, false
}
