package dotterproxy

import (
	"context"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterclaim"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

const (
	claimTimeoutMillis         = dotterclock.Millis(300) // for claiming a key before the request is sent
	updateWaitMillis           = 250                     // longest delay of a response by the update of its claim
	updateTimeoutMillis        = 30 * dotterclock.Second // for updating a claim in the background
	keyInProgressRetryAfter    = 2 * dotterclock.Second
	storeUnavailableRetryAfter = 2 * dotterclock.Second
)

// execute sends the request to a backend server. A request with an idempotency key
// is sent only if no other request has claimed the key. The key of a forwarded
// request has been claimed by the forwarding host.
func (p *Proxy) execute(ctx context.Context, request dotterrequest.Request) (dotterrequest.Answer, *dotterrequest.Refusal) {
	if request.Key == "" || request.Forwarded {
		return p.exchanger.Do(ctx, request)
	}
	repeatable := request.Repeatable
	request.Repeatable = false
	claim, err := p.claim(ctx, request)
	if err != nil {
		return p.executeWithoutClaim(ctx, request, claim, repeatable)
	}
	switch claim.State {
	case dotterclaim.StateFresh:
		return p.executeWithClaim(ctx, request, claim)
	case dotterclaim.StateAnswered:
		return storedAnswer(claim.Answer)
	case dotterclaim.StateMismatch:
		text := "the key was used for another request"
		return dotterrequest.Answer{}, dotterrequest.NotRun(dotterrequest.ReasonKeyReused, text, 0).
			WithStatus(http.StatusUnprocessableEntity)
	}
	refusal := dotterrequest.Unknown(dotterrequest.ReasonKeyInProgress, "the first request with this key has no known end").
		WithStatus(http.StatusConflict)
	refusal.RetryAfter = keyInProgressRetryAfter
	return dotterrequest.Answer{}, refusal
}

// claim claims the idempotency key of request.
func (p *Proxy) claim(ctx context.Context, request dotterrequest.Request) (dotterclaim.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeoutMillis.Duration())
	defer cancel()
	key := dotterclaim.Key{Team: request.Template.Team, Template: request.Template.Name, Key: request.Key}
	return p.options.Claims.Claim(ctx, key, fingerprint(request))
}

// executeWithoutClaim handles a request whose key can't be claimed because the
// store is unavailable. It sends a repeatable request, and any request whose template
// allows keyed requests during an outage of the store. It refuses others and abandons
// the claim in case it has been made.
func (p *Proxy) executeWithoutClaim(ctx context.Context, request dotterrequest.Request, claim dotterclaim.Claim, repeatable bool) (dotterrequest.Answer, *dotterrequest.Refusal) {
	if repeatable || request.Template.KeyedOutage == dotterconfig.RuleAllow {
		return p.exchanger.Do(ctx, request)
	}
	if claim.State == dotterclaim.StateOpen {
		p.updateClaim(request, func(ctx context.Context) error {
			return p.options.Claims.Abandon(ctx, claim)
		})
	}
	refusal := dotterrequest.NotRun(dotterrequest.ReasonStoreUnavailable, "the idempotency key can't be claimed at present", storeUnavailableRetryAfter)
	return dotterrequest.Answer{}, refusal
}

// executeWithClaim sends a request whose key it has claimed and updates the claim
// with the result. After an unknown outcome the claim stays open until it expires.
func (p *Proxy) executeWithClaim(ctx context.Context, request dotterrequest.Request, claim dotterclaim.Claim) (dotterrequest.Answer, *dotterrequest.Refusal) {
	answer, refusal := p.exchanger.Do(ctx, request)
	outcome := answer.Outcome
	if refusal != nil {
		outcome = refusal.Outcome
	}
	switch outcome {
	case dotteroutcome.NotRun:
		p.awaitUpdate(p.updateClaim(request, func(ctx context.Context) error {
			return p.options.Claims.Abandon(ctx, claim)
		}))
	case dotteroutcome.Done:
		stored := answerToStore(answer)
		p.awaitUpdate(p.updateClaim(request, func(ctx context.Context) error {
			return p.options.Claims.Complete(ctx, claim, stored)
		}))
	}
	return answer, refusal
}

// updateClaim runs update in the background and returns a channel that is closed
// when update has returned. Drain waits for it.
func (p *Proxy) updateClaim(request dotterrequest.Request, update func(context.Context) error) <-chan struct{} {
	updated := make(chan struct{})
	p.tracker.add()
	go func() {
		defer p.tracker.done()
		defer close(updated)
		ctx, cancel := context.WithTimeout(context.Background(), updateTimeoutMillis.Duration())
		defer cancel()
		err := update(ctx)
		if err != nil {
			p.options.Log.Warn("failed to update idempotency claim", zap.String("Request", request.ID), zap.Error(err))
		}
	}()
	return updated
}

// awaitUpdate waits until updated is closed, at most for updateWaitMillis: the
// response to the caller does not depend on the update.
func (p *Proxy) awaitUpdate(updated <-chan struct{}) {
	select {
	case <-updated:
	case <-p.options.Clock.After(updateWaitMillis):
	}
}

// answerToStore returns answer in the form in which it is stored with the claim,
// without its body if that has not been buffered completely.
func answerToStore(answer dotterrequest.Answer) dotterclaim.Answer {
	if !answer.Complete() {
		return dotterclaim.Answer{Status: answer.Status, Omitted: true}
	}
	return dotterclaim.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Start}
}

// storedAnswer returns the answer that was stored with a claim, or a refusal if its
// body was omitted.
func storedAnswer(stored dotterclaim.Answer) (dotterrequest.Answer, *dotterrequest.Refusal) {
	if stored.Omitted {
		refusal := dotterrequest.Unknown(dotterrequest.ReasonAnswerNotKept, "the request ran; its answer was too large to be kept")
		return dotterrequest.Answer{}, refusal.WithOutcome(dotteroutcome.Done).WithStatus(http.StatusGone)
	}
	return dotterrequest.Answer{
		Outcome: dotteroutcome.Done,
		Status:  stored.Status,
		Header:  stored.Header,
		Start:   stored.Body,
		Length:  int64(len(stored.Body)),
	}, nil
}

// fingerprint returns a hash of the request, by which the reuse of a key for a
// different request is detected.
func fingerprint(request dotterrequest.Request) string {
	digest := xxhash.New()
	for _, text := range []string{request.Method, request.Path, request.Query} {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(request.Body)
	return fmt.Sprintf("%016x", digest.Sum64())
}
