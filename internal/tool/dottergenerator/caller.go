package dottergenerator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
	"github.com/dotterelusher/dotterelusher/internal/model/dottersubmission"
)

// Outcomes recorded for requests whose response carries none.
const (
	OutcomeNoAnswer = "NoAnswer" // no response, or an incomplete one
	OutcomeFailed   = "Failed"   // error status without an outcome header
	OutcomeWrong    = "Wrong"    // the response echoes the id of another request
)

// Caller sends requests over HTTP as an external client of the system does.
type Caller struct {
	client  *http.Client
	timeout dotterclock.Millis
	runID   string // prefix of the ids of all requests of this run
}

// NewCaller returns a caller whose requests have a deadline of timeout. It keeps at most
// maxIdleConnections idle connections in all, which one target may use up.
func NewCaller(runID string, timeout dotterclock.Millis, maxIdleConnections int) *Caller {
	return &Caller{
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConns:        maxIdleConnections,
			MaxIdleConnsPerHost: maxIdleConnections,
			DisableCompression:  true,
		}},
		timeout: timeout,
		runID:   runID,
	}
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Service returns a sender of requests to the service template that uses the targets
// in round-robin order; keyed requests carry an idempotency key.
func (c *Caller) Service(targets []string, template, path string, bodyBytes int, keyed bool) Sender {
	body := bytes.Repeat([]byte("x"), max(1, bodyBytes))
	return func(ctx context.Context, number int) string {
		url := "http://" + targets[number%len(targets)] + dotterrequest.PathPrefix + template + path
		request := c.newRequest(url, number, body)
		request.Header.Set(dotterrequest.HeaderTimeout, strconv.FormatInt(int64(c.timeout), 10))
		if keyed {
			request.Header.Set(dotterrequest.HeaderIdempotencyKey, request.Header.Get(dotterrequest.HeaderRequest))
		}
		return c.do(ctx, request)
	}
}

// Direct returns a sender of requests straight to backend servers, in round-robin order.
func (c *Caller) Direct(targets []string, path string, bodyBytes int) Sender {
	body := bytes.Repeat([]byte("x"), max(1, bodyBytes))
	return func(ctx context.Context, number int) string {
		return c.do(ctx, c.newRequest("http://"+targets[number%len(targets)]+path, number, body))
	}
}

// Tasks returns a sender that submits one task per request, to the targets in
// round-robin order.
func (c *Caller) Tasks(targets []string, template string) Sender {
	return func(ctx context.Context, number int) string {
		submission := dottersubmission.Submission{Template: template, Key: c.id("task", number)}
		body, err := json.Marshal(dottermessage.SubmitRequest{Submissions: []dottersubmission.Submission{submission}})
		if err != nil {
			panic(err) // a submission can always be encoded
		}
		request := c.newRequest("http://"+targets[number%len(targets)]+"/v1/tasks", number, body)
		request.Header.Set("Content-Type", "application/json")
		return c.do(ctx, request)
	}
}

func (c *Caller) id(kind string, number int) string {
	return fmt.Sprintf("%s-%s-%d", c.runID, kind, number)
}

// newRequest builds a POST request. It hides the type of the body, so that GetBody
// stays unset and net/http cannot send the request a second time.
func (c *Caller) newRequest(url string, number int, body []byte) *http.Request {
	request, err := http.NewRequest(http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		panic(err) // the targets and the path must be valid
	}
	request.ContentLength = int64(len(body))
	request.Header.Set(dotterrequest.HeaderRequest, c.id("request", number))
	return request
}

// do sends request, reads the whole response and returns the outcome. It waits a
// little longer than the timeout, so that a late answer of the daemon is recorded
// as such and not as a missing one.
func (c *Caller) do(ctx context.Context, request *http.Request) string {
	const grace = time.Second
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration()+grace)
	defer cancel()
	response, err := c.client.Do(request.WithContext(ctx))
	if err != nil {
		return OutcomeNoAnswer
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if err != nil {
		return OutcomeNoAnswer
	}
	echoed := response.Header.Get(dotterrequest.HeaderRequest)
	if echoed != "" && echoed != request.Header.Get(dotterrequest.HeaderRequest) {
		return OutcomeWrong
	}
	return outcomeOf(response)
}

// outcomeOf returns the outcome from the header or, without one, from the status.
func outcomeOf(response *http.Response) string {
	outcome := response.Header.Get(dotteroutcome.Header)
	switch {
	case outcome != "":
		return outcome
	case response.StatusCode < http.StatusBadRequest:
		return string(dotteroutcome.Done)
	}
	return OutcomeFailed
}
