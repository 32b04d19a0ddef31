package dotterexchange

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterbudget"
	"github.com/dotterelusher/dotterelusher/internal/entry/dottermeter"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterservice"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// mostAttempts is how often one request is sent, hedges not counted.
const mostAttempts = 3

// Options is what an Exchanger works with.
type Options struct {
	Clock     dotterelusher.Clock
	Backend   dotterelusher.BackendClient
	Services  *dotterservice.Services
	Forwarder *Forwarder
	Meter     *dottermeter.Meter
	Log       *zap.Logger

	BufferBytes  int // answers up to this size are received whole before they are passed on
	RetryPercent int // retries and hedges together, for each hundred requests
}

// Exchanger carries requests to backend servers.
type Exchanger struct {
	options Options
	budget  *dotterbudget.Budget
}

// New returns an exchanger.
func New(options Options) *Exchanger {
	return &Exchanger{options: options, budget: dotterbudget.New(options.RetryPercent)}
}

// Do returns the answer to request, or the refusal that is final. The answer
// must be closed; ctx bounds the time until it has been read.
func (e *Exchanger) Do(ctx context.Context, request dotterrequest.Request) (dotterrequest.Answer, *dotterrequest.Refusal) {
	service, ok := e.options.Services.Service(request.Template.Name)
	if !ok {
		return dotterrequest.Answer{}, dotterrequest.NotRun(dotterrequest.ReasonNoServer, "the service is not known here yet", noServiceReturn)
	}
	available, reason := service.Available()
	if !available && !request.Forwarded {
		return e.forwardAlways(ctx, request, reason)
	}
	e.budget.Earn()
	return e.attempts(ctx, request, service)
}

// noServiceReturn is when a request to a service without servers is worth repeating.
const noServiceReturn = 1000

// attempts sends the request until there is an answer or nothing more may be done.
func (e *Exchanger) attempts(ctx context.Context, request dotterrequest.Request, service *dotterservice.Service) (dotterrequest.Answer, *dotterrequest.Refusal) {
	ticket := dotterservice.SlotRequest{
		Rank:     request.Template.Rank,
		Deadline: request.Deadline,
		Target:   request.Template.TargetMillis,
	}
	var before *dotterrequest.Refusal
	for number := 1; ; number++ {
		grant, err := service.Acquire(ctx, ticket)
		if err != nil {
			return e.withoutSlot(ctx, request, before, asRefusal(err))
		}
		e.logRoute(request, grant.Host.Name, routeReason(number))
		r := e.send(ctx, request, service, grant)
		if r.refusal == nil {
			return r.answer, nil
		}
		before = combined(before, r.refusal)
		if number == mostAttempts || !e.mayRepeat(ctx, request, before) {
			return e.givenUp(ctx, request, before)
		}
		e.options.Meter.Retries.Inc()
		ticket.Exclude = r.server
	}
}

// givenUp ends a request that is not sent here again: one that reached no backend
// server is forwarded, because those of another domain may well be reachable.
func (e *Exchanger) givenUp(ctx context.Context, request dotterrequest.Request, refusal *dotterrequest.Refusal) (dotterrequest.Answer, *dotterrequest.Refusal) {
	unreached := refusal.Outcome == dotteroutcome.NotRun && refusal.Reason == dotterrequest.ReasonUnreachable
	if unreached && !request.Forwarded && ctx.Err() == nil {
		answer, refused, tried := e.forward(ctx, request, refusal.Reason, true)
		if tried {
			return answer, refused
		}
	}
	return dotterrequest.Answer{}, refusal
}

// mayRepeat reports whether the request may be sent again after refusal, and
// spends from the budget if so.
func (e *Exchanger) mayRepeat(ctx context.Context, request dotterrequest.Request, refusal *dotterrequest.Refusal) bool {
	if ctx.Err() != nil {
		return false
	}
	if refusal.Outcome != dotteroutcome.NotRun && !request.Repeatable {
		return false
	}
	return e.budget.Spend()
}

// withoutSlot ends a request that got no slot here: it is forwarded if nothing
// of it was sent and another domain has room.
func (e *Exchanger) withoutSlot(ctx context.Context, request dotterrequest.Request, before, refusal *dotterrequest.Refusal) (dotterrequest.Answer, *dotterrequest.Refusal) {
	if before == nil && !request.Forwarded && ctx.Err() == nil {
		answer, refused, tried := e.forward(ctx, request, refusal.Reason, false)
		if tried {
			return answer, refused
		}
	}
	e.logRefusal(request, refusal)
	return dotterrequest.Answer{}, combined(before, refusal)
}

func (e *Exchanger) forwardAlways(ctx context.Context, request dotterrequest.Request, reason dotterrequest.Reason) (dotterrequest.Answer, *dotterrequest.Refusal) {
	answer, refused, tried := e.forward(ctx, request, reason, true)
	if tried {
		return answer, refused
	}
	refusal := dotterrequest.NotRun(reason, "no slot here and no entry host of another failure domain to forward to", noServiceReturn)
	e.logRefusal(request, refusal)
	return dotterrequest.Answer{}, refusal
}

func (e *Exchanger) forward(ctx context.Context, request dotterrequest.Request, reason dotterrequest.Reason, always bool) (dotterrequest.Answer, *dotterrequest.Refusal, bool) {
	peer, done, ok := e.options.Forwarder.choose(always)
	if !ok {
		return dotterrequest.Answer{}, nil, false
	}
	defer done()
	e.options.Meter.Forwards.Inc()
	e.logRoute(request, peer.Name, "Forwarded"+string(reason))
	answer, refusal := e.options.Forwarder.send(ctx, request, peer, e.options.BufferBytes)
	return answer, refusal, true
}

func asRefusal(err error) *dotterrequest.Refusal {
	var refusal *dotterrequest.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return dotterrequest.NotRun(dotterrequest.ReasonNoServer, err.Error(), noServiceReturn)
}

func routeReason(number int) string {
	if number > 1 {
		return "Retry"
	}
	return "Chosen"
}

func (e *Exchanger) logRoute(request dotterrequest.Request, target, reason string) {
	e.options.Log.Info("Routed",
		zap.String("Request", request.ID),
		zap.String("Template", request.Template.Name),
		zap.String("Target", target),
		zap.String("Reason", reason),
		zap.Int64("Revision", request.Revision))
}

func (e *Exchanger) logRefusal(request dotterrequest.Request, refusal *dotterrequest.Refusal) {
	e.options.Log.Info("Refused",
		zap.String("Request", request.ID),
		zap.String("Template", request.Template.Name),
		zap.String("Target", ""),
		zap.String("Reason", string(refusal.Reason)),
		zap.Int64("Revision", request.Revision))
}
