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
	drainingRetryAfter        = dotterclock.Second
	tooManyRequestsRetryAfter = 500 * dotterclock.Millisecond
)

// Proxy is an http.Handler that proxies callers' requests to backend servers.
type Proxy struct {
	options   Options
	services  *dotterservice.Services
	exchanger *dotterexchange.Exchanger
	meter     *dottermeter.Meter
	templates templateIndex
	tracker   *requestTracker
	closers   []func() error // run by Close
}

var _ http.Handler = (*Proxy)(nil)

// New returns a running proxy. To stop it, call Drain and then Close.
func New(options Options) (*Proxy, error) {
	err := options.Limits.Check()
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		options: options,
		tracker: newRequestTracker(),
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

// newRouter returns the function that creates the router of a template.
func (p *Proxy) newRouter() func(string) dotterelusher.Router {
	if p.options.NewRouter != nil {
		return p.options.NewRouter
	}
	return func(string) dotterelusher.Router {
		return dotterrouter.NewPowerOfTwo(uint64(p.options.Clock.Now()))
	}
}

// newExchanger returns the exchanger that sends requests, with its connections to
// backend servers and to other entry hosts.
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

// Drain refuses new requests and waits for those in progress to complete. It returns
// ErrNotDrained if ctx ends first.
func (p *Proxy) Drain(ctx context.Context) error {
	return p.tracker.drain(ctx)
}

// FreeSlots returns the number of slots, over all services, that this host could use
// now for requests forwarded by other entry hosts.
func (p *Proxy) FreeSlots() int {
	return p.services.FreeSlots()
}

// Close stops updating the services and closes the connections. It must be called
// after Drain. It returns the first error.
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

// ServeHTTP handles one request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, ok := requestID(r)
	if !ok {
		p.refuse(w, dotterrequest.Request{}, badRequest(dotterrequest.HeaderRequest+" is too long or not printable"))
		return
	}
	w.Header().Set(dotterrequest.HeaderRequest, id)
	count, ok := p.tracker.begin()
	if !ok {
		w.Header().Set("Connection", "close")
		refusal := dotterrequest.NotRun(dotterrequest.ReasonDraining, "this host is shutting down", drainingRetryAfter)
		p.refuse(w, dotterrequest.Request{ID: id}, refusal)
		return
	}
	defer p.tracker.done()
	p.meter.InFlight.Inc()
	defer p.meter.InFlight.Dec()
	request, refusal := p.decode(r, id)
	if refusal == nil && count > p.admissionLimit(request) {
		refusal = dotterrequest.NotRun(dotterrequest.ReasonTooManyRequests, "too many requests in progress", tooManyRequestsRetryAfter)
	}
	if refusal != nil {
		p.refuse(w, request, refusal)
		return
	}
	p.serve(w, r, request)
}

// admissionLimit returns the number of requests in progress, request included, up to
// which request is admitted. It decreases with the rank, so that the last fifth of
// the capacity is reserved for requests of low rank, which are served first.
func (p *Proxy) admissionLimit(request dotterrequest.Request) int {
	limit := p.options.Limits.InProgress
	return limit - limit*request.Template.Rank/500
}

// serve executes a decoded request and writes its response.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request, request dotterrequest.Request) {
	body, refusal := p.readBody(w, r, request.Deadline)
	if refusal != nil {
		p.refuse(w, request, refusal)
		return
	}
	request.Body = body
	timeout := (request.Deadline - p.options.Clock.Now()).Duration()
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	answer, refusal := p.execute(ctx, request)
	if refusal != nil {
		p.refuse(w, request, refusal)
		return
	}
	defer answer.Close()
	complete := writeAnswer(w, answer, timeout)
	if !complete {
		p.recordOutcome(request, dotteroutcome.Unknown, dotterrequest.ReasonAnswerLost)
		// The header has been sent, so only aborting the connection can signal the error.
		panic(http.ErrAbortHandler)
	}
	p.recordOutcome(request, answer.Outcome, "")
}

// refuse records the refusal and writes it to the caller.
func (p *Proxy) refuse(w http.ResponseWriter, request dotterrequest.Request, refusal *dotterrequest.Refusal) {
	p.recordOutcome(request, refusal.Outcome, refusal.Reason)
	writeRefusal(w, request.ID, refusal)
}

// recordOutcome records the outcome and the latency of a request in the metrics.
func (p *Proxy) recordOutcome(request dotterrequest.Request, outcome dotteroutcome.Outcome, reason dotterrequest.Reason) {
	latency := dotterclock.Millis(0)
	if request.Arrived > 0 {
		latency = p.options.Clock.Now() - request.Arrived
	}
	p.meter.Observe(request.Template.Name, outcome, reason, latency)
}
