package dotterexchange

import (
	"context"
	"errors"
	"strings"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterbudget"
	"github.com/dotterelusher/dotterelusher/internal/entry/dottermeter"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterservice"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

const (
	// maxAttempts is how many times a request is sent, not counting hedges.
	maxAttempts = 3
	// maxServersLost is the number of backend servers that close the connection over a
	// request, instead of answering it, after which it is not sent again. It may have crashed
	// them.
	maxServersLost = 2
)

// Options holds the dependencies and limits of an Exchanger.
type Options struct {
	Clock     dotterelusher.Clock
	Backend   dotterelusher.BackendClient
	Services  *dotterservice.Services
	Forwarder *Forwarder
	Meter     *dottermeter.Meter
	Log       *zap.Logger

	BufferBytes  int // answers up to this size are buffered before they are returned; longer ones are streamed
	RetryPercent int // retries and hedges together, per hundred requests
}

// Exchanger sends requests to backend servers, with retries, hedges and forwards.
type Exchanger struct {
	options Options
	budget  *dotterbudget.Budget
}

// New returns an exchanger.
func New(options Options) *Exchanger {
	return &Exchanger{options: options, budget: dotterbudget.New(options.RetryPercent)}
}

// Do sends request and returns its answer, or a refusal if there is none. The
// caller must close the answer. ctx limits the time until the answer is read.
func (e *Exchanger) Do(ctx context.Context, request dotterrequest.Request) (dotterrequest.Answer, *dotterrequest.Refusal) {
	service, ok := e.options.Services.Service(request.Template.Name)
	if !ok {
		return dotterrequest.Answer{}, dotterrequest.NotRun(dotterrequest.ReasonNoServer, "the service is not known here yet", noServiceRetryAfterMillis)
	}
	available, reason := service.Available()
	if !available && !request.Forwarded {
		return e.forwardOrRefuse(ctx, request, reason)
	}
	e.budget.Earn()
	return e.sendWithRetries(ctx, request, service)
}

// noServiceRetryAfterMillis is the retry delay for a service without servers.
const noServiceRetryAfterMillis = 1000

// sendWithRetries sends the request until it is answered or no retry is allowed. A
// retry avoids the server that failed, if another has a free slot.
func (e *Exchanger) sendWithRetries(ctx context.Context, request dotterrequest.Request, service *dotterservice.Service) (dotterrequest.Answer, *dotterrequest.Refusal) {
	ticket := dotterservice.SlotRequest{
		Rank:     request.Template.Rank,
		Deadline: request.Deadline,
		Target:   request.Template.TargetMillis,
	}
	var previous *dotterrequest.Refusal
	var lost []string // servers that closed the connection instead of answering
	for number := 1; ; number++ {
		grant, err := service.Acquire(ctx, ticket)
		if err != nil {
			return e.handleNoSlot(ctx, request, previous, asRefusal(err))
		}
		e.logRoute(request, grant.Host.Name, routeReason(number))
		r := e.send(ctx, request, service, grant, len(lost) == 0)
		if r.refusal == nil {
			return r.answer, nil
		}
		previous = combineRefusals(previous, r.refusal)
		lost = append(lost, r.lost...)
		if len(lost) >= maxServersLost {
			return dotterrequest.Answer{}, e.serversLost(request, lost)
		}
		if number == maxAttempts || !e.allowRetry(ctx, request, previous) {
			return e.giveUp(ctx, request, previous)
		}
		e.options.Meter.Retries.Inc()
		ticket.Exclude = r.server
	}
}

// serversLost returns the refusal of a request that may have crashed the servers.
func (e *Exchanger) serversLost(request dotterrequest.Request, servers []string) *dotterrequest.Refusal {
	refusal := dotterrequest.Unknown(dotterrequest.ReasonServersLost, "closed the connection instead of answering: "+strings.Join(servers, ", "))
	e.options.Log.Warn("Servers lost", zap.String("Request", request.ID), zap.String("Template", request.Template.Name),
		zap.Strings("Servers", servers), zap.String("Reason", string(refusal.Reason)), zap.Int64("Revision", request.Revision))
	return refusal
}

// giveUp ends a request that is not retried here. If it reached no backend server,
// it is forwarded, because servers of another failure domain may be reachable.
func (e *Exchanger) giveUp(ctx context.Context, request dotterrequest.Request, refusal *dotterrequest.Refusal) (dotterrequest.Answer, *dotterrequest.Refusal) {
	unreached := refusal.Outcome == dotteroutcome.NotRun && refusal.Reason == dotterrequest.ReasonUnreachable
	if unreached && !request.Forwarded && ctx.Err() == nil {
		answer, peerRefusal, forwarded := e.forward(ctx, request, refusal.Reason, true)
		if forwarded {
			return answer, peerRefusal
		}
	}
	return dotterrequest.Answer{}, refusal
}

// allowRetry reports whether the request may be retried after refusal. If so, it
// deducts the retry from the budget.
func (e *Exchanger) allowRetry(ctx context.Context, request dotterrequest.Request, refusal *dotterrequest.Refusal) bool {
	if ctx.Err() != nil {
		return false
	}
	if refusal.Outcome != dotteroutcome.NotRun && !request.Repeatable {
		return false
	}
	return e.budget.Spend()
}

// handleNoSlot ends a request that got no slot here. It is forwarded if no attempt
// was made yet and a peer of another failure domain has a free slot.
func (e *Exchanger) handleNoSlot(ctx context.Context, request dotterrequest.Request, previous, refusal *dotterrequest.Refusal) (dotterrequest.Answer, *dotterrequest.Refusal) {
	if previous == nil && !request.Forwarded && ctx.Err() == nil {
		answer, peerRefusal, forwarded := e.forward(ctx, request, refusal.Reason, false)
		if forwarded {
			return answer, peerRefusal
		}
	}
	e.logRefusal(request, refusal)
	return dotterrequest.Answer{}, combineRefusals(previous, refusal)
}

// forwardOrRefuse handles a request that this failure domain can't serve at all: it
// is forwarded even to a peer that reports no free slot.
func (e *Exchanger) forwardOrRefuse(ctx context.Context, request dotterrequest.Request, reason dotterrequest.Reason) (dotterrequest.Answer, *dotterrequest.Refusal) {
	answer, peerRefusal, forwarded := e.forward(ctx, request, reason, true)
	if forwarded {
		return answer, peerRefusal
	}
	refusal := dotterrequest.NotRun(reason, "no slot here and no entry host of another failure domain to forward to", noServiceRetryAfterMillis)
	e.logRefusal(request, refusal)
	return dotterrequest.Answer{}, refusal
}

// forward sends the request to a peer, or returns false if there is none to send
// it to. See Forwarder.choose for force.
func (e *Exchanger) forward(ctx context.Context, request dotterrequest.Request, reason dotterrequest.Reason, force bool) (dotterrequest.Answer, *dotterrequest.Refusal, bool) {
	peer, done, ok := e.options.Forwarder.choose(force)
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
	return dotterrequest.NotRun(dotterrequest.ReasonNoServer, err.Error(), noServiceRetryAfterMillis)
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
