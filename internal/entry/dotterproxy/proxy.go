package dotterproxy

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterconnection"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterexchange"
	"github.com/dotterelusher/dotterelusher/internal/entry/dottermeter"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrouter"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterservice"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

const (
	drainingReturn = dotterclock.Second
	crowdedReturn  = 500 * dotterclock.Millisecond
)

// Proxy is the HTTP handler of callers' requests to services.
type Proxy struct {
	options   Options
	services  *dotterservice.Services
	exchanger *dotterexchange.Exchanger
	meter     *dottermeter.Meter
	templates templateIndex
	bodies    memory
	gate      *gate
	closers   []func() error
}

var _ http.Handler = (*Proxy)(nil)

// New returns a running proxy; Drain and then Close end it.
func New(options Options) (*Proxy, error) {
	err := options.Limits.Check()
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		options: options,
		bodies:  memory{bound: int64(options.Limits.BodyMemoryBytes)},
		gate:    newGate(),
	}
	p.services = dotterservice.NewServices(dotterservice.Options{
		FailureDomain: options.FailureDomain,
		Configuration: options.Configuration,
		Directory:     options.Directory,
		Permits:       options.Permits,
		Clock:         options.Clock,
		Settings: dotterservice.Settings{
			QueueItems:      options.Limits.QueueItems,
			QueueWaitMillis: options.Limits.QueueWaitMillis,
		},
		NewRouter: p.newRouter(),
	})
	p.closers = append(p.closers, p.services.Close)
	p.meter, err = dottermeter.New(options.Registerer, p.services.Waiting)
	if err != nil {
		_ = p.Close()
		return nil, eris.Wrap(err, "request metrics")
	}
	p.exchanger = p.newExchanger()
	return p, nil
}

func (p *Proxy) newRouter() func(string) dotterelusher.Router {
	if p.options.NewRouter != nil {
		return p.options.NewRouter
	}
	return func(string) dotterelusher.Router {
		return dotterrouter.NewPowerOfTwo(uint64(p.options.Clock.Now()))
	}
}

func (p *Proxy) newExchanger() *dotterexchange.Exchanger {
	o := p.options
	backend := o.Backend
	if backend == nil {
		client := dotterconnection.New(o.Permits, o.Clock, o.Connections)
		p.closers = append(p.closers, client.Close)
		backend = client
	}
	peers := dotterconnection.New(dotterconnection.NewUnlimited(), o.Clock, o.Connections)
	p.closers = append(p.closers, peers.Close)
	return dotterexchange.New(dotterexchange.Options{
		Clock:    o.Clock,
		Backend:  backend,
		Services: p.services,
		Forwarder: dotterexchange.NewForwarder(dotterexchange.ForwarderOptions{
			FailureDomain: o.FailureDomain,
			Clock:         o.Clock,
			Peers:         o.Peers,
			Configuration: o.Configuration,
			Client:        peers,
		}),
		Meter:        p.meter,
		Log:          o.Log,
		BufferBytes:  o.Limits.AnswerBufferBytes,
		RetryPercent: o.Limits.RetryPercent,
	})
}

// Drain refuses new requests and waits for those in progress, or returns
// ErrNotDrained when ctx ends first.
func (p *Proxy) Drain(ctx context.Context) error {
	return p.gate.drain(ctx)
}

// FreeSlots returns the slots that this host could use now for requests of
// other hosts, over all services.
func (p *Proxy) FreeSlots() int {
	return p.services.FreeSlots()
}

// Close closes the connections; it is called after Drain.
func (p *Proxy) Close() error {
	var first error
	for _, closer := range p.closers {
		err := closer()
		if first == nil {
			first = err
		}
	}
	return first
}

// ServeHTTP answers one request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, ok := requestID(r)
	if !ok {
		p.refuse(w, dotterrequest.Request{}, badRequest(dotterrequest.HeaderRequest+" is too long or not printable"))
		return
	}
	w.Header().Set(dotterrequest.HeaderRequest, id)
	count, ok := p.gate.enter()
	if !ok {
		w.Header().Set("Connection", "close")
		refusal := dotterrequest.NotRun(dotterrequest.ReasonDraining, "this host is shutting down", drainingReturn)
		p.refuse(w, dotterrequest.Request{ID: id}, refusal)
		return
	}
	defer p.gate.exit()
	p.meter.InFlight.Inc()
	defer p.meter.InFlight.Dec()
	request, refusal := p.decode(r, id)
	if refusal == nil && count > p.admitted(request) {
		refusal = dotterrequest.NotRun(dotterrequest.ReasonTooManyRequests, "too many requests in progress", crowdedReturn)
	}
	if refusal != nil {
		p.refuse(w, request, refusal)
		return
	}
	p.serve(w, r, request)
}

// admitted returns how many requests may be in progress for this one to be
// taken in: the last fifth of the room is kept for requests of low rank.
func (p *Proxy) admitted(request dotterrequest.Request) int {
	most := p.options.Limits.InProgress
	return most - most*request.Template.Rank/500
}

func (p *Proxy) serve(w http.ResponseWriter, r *http.Request, request dotterrequest.Request) {
	body, done, refusal := p.readBody(w, r)
	if refusal != nil {
		p.refuse(w, request, refusal)
		return
	}
	defer done()
	request.Body = body
	patience := (request.Deadline - p.options.Clock.Now()).Duration()
	ctx, cancel := context.WithTimeout(r.Context(), patience)
	defer cancel()
	answer, refusal := p.claimed(ctx, request)
	if refusal != nil {
		p.refuse(w, request, refusal)
		return
	}
	defer answer.Close()
	whole := writeAnswer(w, answer, patience)
	if !whole {
		p.ended(request, dotteroutcome.Unknown, dotterrequest.ReasonAnswerLost)
		// Breaking the connection is the only way left to tell the caller.
		panic(http.ErrAbortHandler)
	}
	p.ended(request, answer.Outcome, "")
}

func (p *Proxy) refuse(w http.ResponseWriter, request dotterrequest.Request, refusal *dotterrequest.Refusal) {
	p.ended(request, refusal.Outcome, refusal.Reason)
	writeRefusal(w, request.ID, refusal)
}

func (p *Proxy) ended(request dotterrequest.Request, outcome dotteroutcome.Outcome, reason dotterrequest.Reason) {
	latency := dotterclock.Millis(0)
	if request.Arrived > 0 {
		latency = p.options.Clock.Now() - request.Arrived
	}
	p.meter.Observe(request.Template.Name, outcome, reason, latency)
}
