package dotterexchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterconnection"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterservice"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// failureStatus is the lowest HTTP status that counts as a failure of the server.
const failureStatus = http.StatusInternalServerError

var errOtherAttemptWon = errors.New("the other attempt was answered first")

// attempt sends a request once, using one slot of a backend server.
type attempt struct {
	exchanger *Exchanger
	request   dotterrequest.Request
	grant     *dotterservice.Grant
	startedAt dotterclock.Millis
	parent    context.Context // context of the request
	ctx       context.Context // context of this attempt
	cancel    context.CancelCauseFunc
}

// result is the answer or, if refusal is set, the failure of an attempt.
type result struct {
	answer  dotterrequest.Answer
	refusal *dotterrequest.Refusal
	server  string
	lost    []string // servers that closed the connection instead of answering, also those of hedges
}

func (e *Exchanger) newAttempt(ctx context.Context, request dotterrequest.Request, grant *dotterservice.Grant) *attempt {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	return &attempt{exchanger: e, request: request, grant: grant, parent: ctx, ctx: attemptCtx, cancel: cancel}
}

// run sends the request and reads the answer. Of a long answer, only the start is
// read; the caller streams the rest.
func (a *attempt) run() result {
	a.startedAt = a.exchanger.options.Clock.Now()
	outgoing := a.request.ForBackend(a.grant.Host.Address).WithContext(a.ctx)
	response, err := a.exchanger.options.Backend.Send(a.grant.Host, outgoing)
	if err != nil {
		return a.fail(err)
	}
	if response.Header.Get(dotterrequest.HeaderLeaving) == dotterrequest.HeaderTrue {
		a.grant.MarkLeaving()
	}
	latency := a.elapsed()
	answer, err := readAnswer(response, a.exchanger.options.BufferBytes)
	if err != nil {
		return a.fail(err)
	}
	answer.Target = a.grant.Host.Name
	if response.Header.Get(dotterrequest.HeaderNotRun) == dotterrequest.HeaderTrue {
		return a.serverRefused(answer)
	}
	answer.Outcome = dotteroutcome.Done
	answer.Header = dotterrequest.BackendHeaders(response.Header)
	a.report(latency, answer.Status >= failureStatus, false)
	a.releaseAtEnd(&answer)
	return result{answer: answer, server: a.grant.Host.Name}
}

// releaseAtEnd releases the slot now if the answer is complete, or else once its
// rest has been read or closed.
func (a *attempt) releaseAtEnd(answer *dotterrequest.Answer) {
	if answer.Complete() {
		a.grant.Release()
		a.cancel(nil)
		return
	}
	answer.Rest = &streamedBody{body: answer.Rest, grant: a.grant, cancel: a.cancel}
}

// serverRefused ends an attempt whose request the server refused to run.
func (a *attempt) serverRefused(answer dotterrequest.Answer) result {
	a.report(a.elapsed(), true, false)
	after := parseRetryAfter(answer.Header)
	a.releaseAtEnd(&answer)
	answer.Close()
	refusal := dotterrequest.NotRun(dotterrequest.ReasonServerRefused, "the backend server refused the request", after)
	return result{refusal: refusal, server: a.grant.Host.Name}
}

// fail ends an attempt without a complete answer.
func (a *attempt) fail(err error) result {
	refusal := refusalOf(err)
	a.reportFailure(err)
	release(a.grant, err)
	a.cancel(nil)
	r := result{refusal: refusal, server: a.grant.Host.Name}
	if refusal.Reason == dotterrequest.ReasonAnswerLost {
		r.lost = []string{r.server}
	}
	return r
}

// reportFailure reports a failed attempt to the router. It reports nothing if the
// caller disconnected, or if the time or the connections of this host ran out
// before anything was sent, since that is no fault of the server. An attempt that
// was canceled because the other one was answered counts as slow, not as failed.
func (a *attempt) reportFailure(err error) {
	unsent := errors.Is(err, dotterelusher.ErrBackendNotSent)
	switch {
	case errors.Is(context.Cause(a.ctx), errOtherAttemptWon):
		a.report(a.elapsed(), false, false)
	case errors.Is(a.ctx.Err(), context.Canceled):
	case unsent && (a.ctx.Err() != nil || errors.Is(err, dotterconnection.ErrNoConnection)):
	default:
		a.report(a.elapsed(), true, unsent)
	}
}

func (a *attempt) report(latency dotterclock.Millis, failed, unreachable bool) {
	a.grant.Report(dotterelusher.RouteResult{
		At:          a.startedAt + latency,
		Latency:     latency,
		Failed:      failed,
		Unreachable: unreachable,
	})
}

func (a *attempt) elapsed() dotterclock.Millis {
	return a.exchanger.options.Clock.Now() - a.startedAt
}

// readAnswer reads the whole body if it has at most limit bytes, or else its start.
func readAnswer(response *http.Response, limit int) (dotterrequest.Answer, error) {
	answer := dotterrequest.Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Length: response.ContentLength,
	}
	start, whole, err := readStart(response.Body, response.ContentLength, limit)
	if err != nil {
		return answer, err
	}
	answer.Start = start
	if !whole {
		answer.Rest = response.Body
	}
	return answer, nil
}

// readStart reads body until it ends or more than limit bytes have been read.
// whole reports whether it ended; length is the announced size, or -1.
func readStart(body io.Reader, length int64, limit int) (start []byte, whole bool, err error) {
	size := min(limit, 4<<10)
	if length >= 0 && length <= int64(limit) {
		size = int(length)
	}
	start = make([]byte, 0, size+1)
	for len(start) <= limit {
		if len(start) == cap(start) {
			start = append(start, 0)[:len(start)]
		}
		n, err := body.Read(start[len(start):cap(start)])
		start = start[:len(start)+n]
		if errors.Is(err, io.EOF) {
			return start, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return start, false, nil
}

// parseRetryAfter returns the delay in seconds that the Retry-After header asks
// for, or a default if there is none.
func parseRetryAfter(header http.Header) dotterclock.Millis {
	seconds, err := strconv.ParseInt(header.Get("Retry-After"), 10, 32)
	if err != nil || seconds < 0 {
		return unreachableRetryAfterMillis
	}
	return dotterclock.Millis(seconds) * dotterclock.Second
}
