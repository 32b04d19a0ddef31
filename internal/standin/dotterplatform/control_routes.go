package dotterplatform

import (
	"net/http"

	"goji.io"
	"goji.io/pat"

	"github.com/dotterelusher/dotterelusher/internal/platform/dotterwire"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterfault"
)

func (p *Platform) registerControl(mux *goji.Mux) {
	mux.HandleFunc(pat.Post(dotterfault.PathStore), control(p.setStoreFault))
	mux.HandleFunc(pat.Post(dotterfault.PathCuts), control(p.setCuts))
	mux.HandleFunc(pat.Post(dotterfault.PathWorkers), control(p.setWorkerFaults))
	mux.HandleFunc(pat.Post(dotterfault.PathBackends), control(p.setBackendFaults))
	mux.HandleFunc(pat.Post(dotterfault.PathSilence), control(p.silence))
	mux.HandleFunc(pat.Post(dotterfault.PathRestart), control(p.restart))
	mux.HandleFunc(pat.Post(dotterfault.PathList), control(p.setLag))
	mux.HandleFunc(pat.Post(dotterfault.PathHost), control(p.changeHost))
	mux.HandleFunc(pat.Post(dotterfault.PathInterference), control(p.setInterference))
}

// control serves one kind of control call.
func control[C any](run func(C) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var call C
		if !dotterwire.Read(w, r, &call) {
			return
		}
		if err := run(call); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		dotterwire.Answer(w, struct{}{})
	}
}

func (p *Platform) setStoreFault(fault dotterfault.Store) error {
	p.store.SetFault(fault)
	return nil
}

func (p *Platform) setCuts(cuts []dotterfault.Partition) error {
	p.cuts.Set(cuts)
	return nil
}

func (p *Platform) setWorkerFaults(call dotterfault.WorkersCall) error {
	for _, w := range p.workers {
		host := w.Host()
		if !call.Matches(host.Name, host.FailureDomain) {
			continue
		}
		if err := w.SetFault(call.Fault); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) setBackendFaults(call dotterfault.BackendsCall) error {
	for _, b := range p.backends {
		host := b.Host()
		if !call.Matches(host.Name, host.FailureDomain) {
			continue
		}
		if err := b.SetFault(call.Fault); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) silence(selector dotterfault.Selector) error {
	for _, b := range p.backends {
		host := b.Host()
		if selector.Matches(host.Name, host.FailureDomain) {
			b.Silence()
		}
	}
	return nil
}

// restart restarts the selected workers; the list shows their new incarnations after its lag.
func (p *Platform) restart(selector dotterfault.Selector) error {
	for _, w := range p.workers {
		host := w.Host()
		if !selector.Matches(host.Name, host.FailureDomain) {
			continue
		}
		if err := w.Restart(); err != nil {
			return err
		}
		if listed, ok := p.list.Find(host.Name); ok {
			listed.Incarnation = w.Host().Incarnation
			p.list.Set(listed)
		}
	}
	return nil
}

func (p *Platform) setLag(call dotterfault.ListCall) error {
	p.list.SetLag(call.LagMillis)
	return nil
}

// changeHost changes a row. A removed worker or backend server comes back with a state.
func (p *Platform) changeHost(call dotterfault.HostCall) error {
	if call.Removed {
		p.list.Remove(call.Name)
		return nil
	}
	host, ok := p.list.Find(call.Name)
	if !ok {
		host, ok = p.ownHost(call.Name)
	}
	if !ok {
		return errNoHost
	}
	p.list.Set(host.WithState(call.State))
	return nil
}

func (p *Platform) setInterference(rows []dotterfault.Interference) error {
	p.interference.Set(rows)
	return nil
}
