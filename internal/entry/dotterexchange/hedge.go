package dotterexchange

import (
	"context"

	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterservice"
)

// send sends the request within grant, and a second time if it is slow and may be hedged.
func (e *Exchanger) send(ctx context.Context, request dotterrequest.Request, service *dotterservice.Service, grant *dotterservice.Grant) result {
	first := e.newAttempt(ctx, request, grant)
	if !request.Repeatable || !request.Template.Hedge {
		return first.run()
	}
	return e.hedged(first, service)
}

func (e *Exchanger) hedged(first *attempt, service *dotterservice.Service) result {
	results := make(chan numbered, 2)
	go func() { results <- numbered{result: first.run()} }()
	select {
	case n := <-results:
		return n.result
	case <-e.options.Clock.After(service.HedgeDelay()):
	}
	second := e.secondAttempt(first, service)
	if second == nil {
		return (<-results).result
	}
	go func() { results <- numbered{result: second.run(), second: true} }()
	return firstAnswer(results, first, second)
}

// numbered is the result of the first or the second attempt.
type numbered struct {
	result result
	second bool
}

// secondAttempt returns the hedge of first, or nil if none may be sent.
func (e *Exchanger) secondAttempt(first *attempt, service *dotterservice.Service) *attempt {
	if first.ctx.Err() != nil {
		return nil
	}
	grant, ok := service.TryAcquire(dotterservice.SlotRequest{
		Rank:     first.request.Template.Rank,
		Deadline: first.request.Deadline,
		Exclude:  first.grant.Host.Name,
	})
	if !ok {
		return nil
	}
	if grant.Host.Name == first.grant.Host.Name || !e.budget.Spend() {
		grant.Release()
		return nil
	}
	e.options.Meter.Hedges.Inc()
	e.logRoute(first.request, grant.Host.Name, "Hedge")
	return e.newAttempt(first.parent, first.request, grant)
}

// firstAnswer returns the first of two results that is an answer and gives up
// the other sending.
func firstAnswer(results <-chan numbered, first, second *attempt) result {
	n := <-results
	loser := second
	if n.second {
		loser = first
	}
	if n.result.refusal == nil {
		loser.cancel(errHedgeWon)
		go func() { discard(<-results) }()
		return n.result
	}
	other := <-results
	if other.result.refusal != nil {
		other.result.refusal = combined(n.result.refusal, other.result.refusal)
	}
	return other.result
}

func discard(n numbered) {
	n.result.answer.Close()
}
