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

// failureStatus is the lowest HTTP status that tells of a fault of the server.
const failureStatus = http.StatusInternalServerError

var errHedgeWon = errors.New("the other sending was answered first")

// attempt is one sending of a request within a slot.
type attempt struct {
	exchanger *Exchanger
	request   dotterrequest.Request
	grant     *dotterservice.Grant
	begin     dotterclock.Millis
	parent    context.Context // of the request
	ctx       context.Context // of this sending
	cancel    context.CancelCauseFunc
}

// result is an answer, or a refusal in its place.
type result struct {
	answer  dotterrequest.Answer
	refusal *dotterrequest.Refusal
	server  string
}

func (e *Exchanger) newAttempt(ctx context.Context, request dotterrequest.Request, grant *dotterservice.Grant) *attempt {
	own, cancel := context.WithCancelCause(ctx)
	return &attempt{exchanger: e, request: request, grant: grant, parent: ctx, ctx: own, cancel: cancel}
}

// run sends the request and reads the answer, or its start if it is long.
func (a *attempt) run() result {
	a.begin = a.exchanger.options.Clock.Now()
	outgoing := a.request.ForBackend(a.grant.Host.Address).WithContext(a.ctx)
	response, err := a.exchanger.options.Backend.Send(a.grant.Host, outgoing)
	if err != nil {
		return a.failed(err)
	}
	if response.Header.Get(dotterrequest.HeaderLeaving) == dotterrequest.HeaderTrue {
		a.grant.MarkLeaving()
	}
	latency := a.elapsed()
	answer, err := readAnswer(response, a.exchanger.options.BufferBytes)
	if err != nil {
		return a.failed(err)
	}
	answer.Target = a.grant.Host.Name
	if response.Header.Get(dotterrequest.HeaderNotRun) == dotterrequest.HeaderTrue {
		return a.refused(answer)
	}
	answer.Outcome = dotteroutcome.Done
	answer.Header = dotterrequest.FromBackend(response.Header)
	a.report(latency, answer.Status >= failureStatus, false)
	a.settle(&answer)
	return result{answer: answer, server: a.grant.Host.Name}
}

// settle ties the slot to the end of the answer.
func (a *attempt) settle(answer *dotterrequest.Answer) {
	if answer.Whole() {
		a.grant.Release()
		a.cancel(nil)
		return
	}
	answer.Rest = &rest{body: answer.Rest, grant: a.grant, cancel: a.cancel}
}

// refused is the end of an attempt that the server itself refused.
func (a *attempt) refused(answer dotterrequest.Answer) result {
	a.report(a.elapsed(), true, false)
	after := retryAfter(answer.Header)
	a.settle(&answer)
	answer.Close()
	refusal := dotterrequest.NotRun(dotterrequest.ReasonServerRefused, "the backend server refused the request", after)
	return result{refusal: refusal, server: a.grant.Host.Name}
}

func (a *attempt) failed(err error) result {
	refusal := refusalOf(err)
	a.reportFailure(err)
	release(a.grant, err)
	a.cancel(nil)
	return result{refusal: refusal, server: a.grant.Host.Name}
}

// reportFailure tells the router what the failure says about the server: nothing
// when the caller went away, or when there was no time or no connection to send.
func (a *attempt) reportFailure(err error) {
	unsent := errors.Is(err, dotterelusher.ErrBackendNotSent)
	switch {
	case errors.Is(context.Cause(a.ctx), errHedgeWon):
		a.report(a.elapsed(), false, false)
	case errors.Is(a.ctx.Err(), context.Canceled):
	case unsent && (a.ctx.Err() != nil || errors.Is(err, dotterconnection.ErrNoConnection)):
	default:
		a.report(a.elapsed(), true, unsent)
	}
}

func (a *attempt) report(latency dotterclock.Millis, failed, unreachable bool) {
	a.grant.Report(dotterelusher.RouteResult{
		At:          a.begin + latency,
		Latency:     latency,
		Failed:      failed,
		Unreachable: unreachable,
	})
}

func (a *attempt) elapsed() dotterclock.Millis {
	return a.exchanger.options.Clock.Now() - a.begin
}

// readAnswer reads the body to its end if it has at most limit bytes, else its start.
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

// retryAfter returns the span that a header asks for, or 0.
func retryAfter(header http.Header) dotterclock.Millis {
	seconds, err := strconv.ParseInt(header.Get("Retry-After"), 10, 32)
	if err != nil || seconds < 0 {
		return unreachableReturn
	}
	return dotterclock.Millis(seconds) * dotterclock.Second
}
