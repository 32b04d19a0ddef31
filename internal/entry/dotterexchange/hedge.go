package dotterexchange

import (
	"context"

	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterservice"
)

// send makes an attempt with the slot grant, and hedges it if the request is slow
// and may be hedged.
func (e *Exchanger) send(ctx context.Context, request dotterrequest.Request, service *dotterservice.Service, grant *dotterservice.Grant, mayHedge bool) result {
	first := e.newAttempt(ctx, request, grant)
	if !request.Repeatable || !request.Template.Hedge || !mayHedge {
		return first.run()
	}
	return e.sendHedged(first, service)
}

// sendHedged runs first, and starts a second attempt if first takes longer than
// service.HedgeDelay.
func (e *Exchanger) sendHedged(first *attempt, service *dotterservice.Service) result {
	results := make(chan attemptResult, 2)
	go func() { results <- attemptResult{result: first.run()} }()
	select {
	case n := <-results:
		return n.result
	case <-e.options.Clock.After(service.HedgeDelay()):
	}
	second := e.secondAttempt(first, service)
	if second == nil {
		return (<-results).result
	}
	go func() { results <- attemptResult{result: second.run(), second: true} }()
	return firstAnswer(results, first, second)
}

// attemptResult is the result of the first attempt or, if second is set, of the
// hedge.
type attemptResult struct {
	result result
	second bool
}

// secondAttempt returns the hedge of first, or nil if none may be sent: it needs a
// free slot of another server and a retry left in the budget.
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

// firstAnswer returns the first of two results that is an answer, and cancels the
// other attempt. If both are refusals, it combines them.
func firstAnswer(results <-chan attemptResult, first, second *attempt) result {
	n := <-results
	loser := second
	if n.second {
		loser = first
	}
	if n.result.refusal == nil {
		loser.cancel(errOtherAttemptWon)
		go func() { closeAnswer(<-results) }()
		return n.result
	}
	other := <-results
	if other.result.refusal != nil {
		other.result.refusal = combineRefusals(n.result.refusal, other.result.refusal)
		other.result.lost = append(other.result.lost, n.result.lost...)
	}
	return other.result
}

func closeAnswer(n attemptResult) {
	n.result.answer.Close()
}
