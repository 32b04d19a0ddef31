package dotterwire

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// AnswerLimit is the largest answer that a caller reads, in bytes.
const AnswerLimit = 64 << 20

// Errors of Call.
var (
	ErrNotSent  = eris.New("platform: the call was not sent")
	ErrNoAnswer = eris.New("platform: no whole answer, the call may have taken effect")
)

// StatusError is an answer with a status other than 200.
type StatusError struct {
	Status int
	NotRun bool // the platform says that the call took no effect
}

// Error returns the status in words.
func (e *StatusError) Error() string {
	return "platform: " + http.StatusText(e.Status)
}

// Call posts request as JSON and decodes the answer into reply. It fails with
// ErrNotSent, ErrNoAnswer or a *StatusError.
func Call(ctx context.Context, client *http.Client, url, caller string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	return exchange(ctx, client, http.MethodPost, url, caller, body, reply)
}

// Fetch gets url and decodes the answer into reply; it fails as Call does.
func Fetch(ctx context.Context, client *http.Client, url, caller string, reply any) error {
	return exchange(ctx, client, http.MethodGet, url, caller, nil, reply)
}

func exchange(ctx context.Context, client *http.Client, method, url, caller string, body []byte, reply any) error {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	traced := httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(traced, method, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderClient, caller)
	response, err := client.Do(request)
	if err != nil {
		return transportError(err, connected.Load())
	}
	defer response.Body.Close()
	return decode(response, reply)
}

// transportError tells a call that was never sent from one that may have been:
// bytes are written only on a connection that the transport handed out.
func transportError(err error, connected bool) error {
	if connected {
		return eris.Wrap(ErrNoAnswer, err.Error())
	}
	return eris.Wrap(ErrNotSent, err.Error())
}

func decode(response *http.Response, reply any) error {
	if response.StatusCode != http.StatusOK {
		notRun := response.Header.Get(HeaderNotRun) == "true"
		return &StatusError{Status: response.StatusCode, NotRun: notRun}
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, AnswerLimit))
	if err != nil {
		return eris.Wrap(ErrNoAnswer, err.Error())
	}
	if err := json.Unmarshal(content, reply); err != nil {
		return eris.Wrap(ErrNoAnswer, err.Error())
	}
	return nil
}
