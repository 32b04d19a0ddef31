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

// Outcomes of requests that brought none of their own.
const (
	OutcomeNoAnswer = "NoAnswer" // nothing, or no whole answer
	OutcomeFailed   = "Failed"   // an answer with an error status and no outcome
	OutcomeWrong    = "Wrong"    // an answer to another request
)

// Caller sends requests over HTTP as a caller of the system does.
type Caller struct {
	client  *http.Client
	timeout dotterclock.Millis
	run     string // starts the ids of this run's requests
}

// NewCaller returns a caller whose requests have a deadline of timeout.
func NewCaller(run string, timeout dotterclock.Millis, connections int) *Caller {
	return &Caller{
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConns:        connections,
			MaxIdleConnsPerHost: connections,
			DisableCompression:  true,
		}},
		timeout: timeout,
		run:     run,
	}
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Service returns a sender of requests to the service template at targets, in turn.
func (c *Caller) Service(targets []string, template, path string, bodyBytes int, keyed bool) Sender {
	body := bytes.Repeat([]byte("x"), max(1, bodyBytes))
	return func(ctx context.Context, number int) string {
		url := "http://" + targets[number%len(targets)] + dotterrequest.PathPrefix + template + path
		request := c.request(url, number, body)
		request.Header.Set(dotterrequest.HeaderTimeout, strconv.FormatInt(int64(c.timeout), 10))
		if keyed {
			request.Header.Set(dotterrequest.HeaderIdempotencyKey, request.Header.Get(dotterrequest.HeaderRequest))
		}
		return c.do(ctx, request)
	}
}

// Direct returns a sender of requests straight to backend servers, in turn.
func (c *Caller) Direct(targets []string, path string, bodyBytes int) Sender {
	body := bytes.Repeat([]byte("x"), max(1, bodyBytes))
	return func(ctx context.Context, number int) string {
		return c.do(ctx, c.request("http://"+targets[number%len(targets)]+path, number, body))
	}
}

// Tasks returns a sender of submissions of one task each at targets, in turn.
func (c *Caller) Tasks(targets []string, template string) Sender {
	return func(ctx context.Context, number int) string {
		submission := dottersubmission.Submission{Template: template, Key: c.id("task", number)}
		body, err := json.Marshal(dottermessage.SubmitRequest{Submissions: []dottersubmission.Submission{submission}})
		if err != nil {
			panic(err) // a submission can always be encoded
		}
		request := c.request("http://"+targets[number%len(targets)]+"/v1/tasks", number, body)
		request.Header.Set("Content-Type", "application/json")
		return c.do(ctx, request)
	}
}

func (c *Caller) id(kind string, number int) string {
	return fmt.Sprintf("%s-%s-%d", c.run, kind, number)
}

// request builds a POST. Without GetBody the standard library can't send it twice.
func (c *Caller) request(url string, number int, body []byte) *http.Request {
	request, err := http.NewRequest(http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		panic(err) // addresses and paths are checked before
	}
	request.ContentLength = int64(len(body))
	request.Header.Set(dotterrequest.HeaderRequest, c.id("request", number))
	return request
}

// do sends request and reads its answer whole. It waits a little longer than
// the deadline, so that a daemon that is late shows as such.
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
