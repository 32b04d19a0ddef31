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

// MaxAnswerBytes is the maximum size of an answer that a client reads.
const MaxAnswerBytes = 64 << 20

// Errors returned by Call and Fetch.
var (
	ErrNotSent  = eris.New("platform: the call was not sent")
	ErrNoAnswer = eris.New("platform: no whole answer, the call may have taken effect")
)

// StatusError is the error for an answer with a status other than 200.
type StatusError struct {
	Status int
	NotRun bool // the platform reports that the call had no effect
}

// Error returns the text of the HTTP status.
func (e *StatusError) Error() string {
	return "platform: " + http.StatusText(e.Status)
}

// Call sends request as a JSON POST and decodes the answer into reply. Its errors are
// ErrNotSent, ErrNoAnswer and *StatusError.
func Call(ctx context.Context, client *http.Client, url, caller string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	return exchange(ctx, client, http.MethodPost, url, caller, body, reply)
}

// Fetch sends a GET and decodes the answer into reply. Its errors are those of Call.
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

// transportError returns ErrNoAnswer for a call that may have been sent and ErrNotSent
// for one that was not. No bytes are written before the transport has obtained a
// connection, so connected tells them apart.
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
	content, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes))
	if err != nil {
		return eris.Wrap(ErrNoAnswer, err.Error())
	}
	if err := json.Unmarshal(content, reply); err != nil {
		return eris.Wrap(ErrNoAnswer, err.Error())
	}
	return nil
}
