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
	claimMillis    = dotterclock.Millis(300) // longest wait for the store before the request
	completeMillis = 250                     // longest that an answer waits for its being kept
	persistMillis  = 30 * dotterclock.Second // how long it is tried to keep an answer
	openReturn     = 2 * dotterclock.Second  // when a key in progress is worth asking for again
	storeReturn    = 2 * dotterclock.Second  // when the store may be back
)

// claimed has the request carried, once for its idempotency key if it has one.
// A forwarded request was claimed by the host that forwards it.
func (p *Proxy) claimed(ctx context.Context, request dotterrequest.Request) (dotterrequest.Answer, *dotterrequest.Refusal) {
	if request.Key == "" || request.Forwarded {
		return p.exchanger.Do(ctx, request)
	}
	repeatable := request.Repeatable
	request.Repeatable = false
	claim, err := p.claim(ctx, request)
	if err != nil {
		return p.unclaimed(ctx, request, claim, repeatable)
	}
	switch claim.State {
	case dotterclaim.StateFresh:
		return p.fresh(ctx, request, claim)
	case dotterclaim.StateAnswered:
		return keptAnswer(claim.Answer)
	case dotterclaim.StateMismatch:
		text := "the key was used for another request"
		return dotterrequest.Answer{}, dotterrequest.NotRun(dotterrequest.ReasonKeyReused, text, 0).
			WithStatus(http.StatusUnprocessableEntity)
	}
	refusal := dotterrequest.Unknown(dotterrequest.ReasonKeyInProgress, "the first request with this key has no known end").
		WithStatus(http.StatusConflict)
	refusal.RetryAfter = openReturn
	return dotterrequest.Answer{}, refusal
}

func (p *Proxy) claim(ctx context.Context, request dotterrequest.Request) (dotterclaim.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimMillis.Duration())
	defer cancel()
	key := dotterclaim.Key{Team: request.Template.Team, Template: request.Template.Name, Key: request.Key}
	return p.options.Claims.Claim(ctx, key, fingerprint(request))
}

// unclaimed handles a request whose key can't be claimed while the store is away.
func (p *Proxy) unclaimed(ctx context.Context, request dotterrequest.Request, claim dotterclaim.Claim, repeatable bool) (dotterrequest.Answer, *dotterrequest.Refusal) {
	if repeatable || request.Template.KeyedOutage == dotterconfig.RuleAllow {
		return p.exchanger.Do(ctx, request)
	}
	if claim.State == dotterclaim.StateOpen {
		p.persist(request, func(ctx context.Context) error {
			return p.options.Claims.Abandon(ctx, claim)
		})
	}
	refusal := dotterrequest.NotRun(dotterrequest.ReasonStoreUnavailable, "the idempotency key can't be claimed at present", storeReturn)
	return dotterrequest.Answer{}, refusal
}

// fresh has the request of a fresh claim carried and keeps what became of it.
// An unknown outcome leaves the claim open until it expires.
func (p *Proxy) fresh(ctx context.Context, request dotterrequest.Request, claim dotterclaim.Claim) (dotterrequest.Answer, *dotterrequest.Refusal) {
	answer, refusal := p.exchanger.Do(ctx, request)
	outcome := answer.Outcome
	if refusal != nil {
		outcome = refusal.Outcome
	}
	switch outcome {
	case dotteroutcome.NotRun:
		p.awaitShortly(p.persist(request, func(ctx context.Context) error {
			return p.options.Claims.Abandon(ctx, claim)
		}))
	case dotteroutcome.Done:
		kept := answerToKeep(answer)
		p.awaitShortly(p.persist(request, func(ctx context.Context) error {
			return p.options.Claims.Complete(ctx, claim, kept)
		}))
	}
	return answer, refusal
}

// persist runs write to its end in the background; the returned channel is
// closed then.
func (p *Proxy) persist(request dotterrequest.Request, write func(context.Context) error) <-chan struct{} {
	written := make(chan struct{})
	p.gate.join()
	go func() {
		defer p.gate.exit()
		defer close(written)
		ctx, cancel := context.WithTimeout(context.Background(), persistMillis.Duration())
		defer cancel()
		err := write(ctx)
		if err != nil {
			p.options.Log.Warn("Claim not kept", zap.String("Request", request.ID), zap.Error(err))
		}
	}()
	return written
}

// awaitShortly waits until written is closed, but not for long: the caller's
// answer does not depend on it.
func (p *Proxy) awaitShortly(written <-chan struct{}) {
	select {
	case <-written:
	case <-p.options.Clock.After(completeMillis):
	}
}

func answerToKeep(answer dotterrequest.Answer) dotterclaim.Answer {
	if !answer.Complete() {
		return dotterclaim.Answer{Status: answer.Status, Omitted: true}
	}
	return dotterclaim.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Start}
}

func keptAnswer(kept dotterclaim.Answer) (dotterrequest.Answer, *dotterrequest.Refusal) {
	if kept.Omitted {
		refusal := dotterrequest.Unknown(dotterrequest.ReasonAnswerNotKept, "the request ran; its answer was too large to be kept")
		return dotterrequest.Answer{}, refusal.WithOutcome(dotteroutcome.Done).WithStatus(http.StatusGone)
	}
	return dotterrequest.Answer{
		Outcome: dotteroutcome.Done,
		Status:  kept.Status,
		Header:  kept.Header,
		Start:   kept.Body,
		Length:  int64(len(kept.Body)),
	}, nil
}

// fingerprint tells requests with the same key apart.
func fingerprint(request dotterrequest.Request) string {
	digest := xxhash.New()
	for _, text := range []string{request.Method, request.Path, request.Query} {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(request.Body)
	return fmt.Sprintf("%016x", digest.Sum64())
}
