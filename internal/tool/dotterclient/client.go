package dotterclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
)

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 64 << 20

// Client calls one of the daemon's APIs at one address.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client for the API at address (IP:port); a call takes at most timeout.
func New(address string, timeout dotterclock.Millis) *Client {
	return &Client{address: address, http: &http.Client{Timeout: timeout.Duration()}}
}

// Get fetches path and decodes the response into reply; the error is ErrUnreachable or a *Refusal.
func (c *Client) Get(ctx context.Context, path string, reply any) error {
	return c.do(ctx, http.MethodGet, path, nil, reply)
}

// Post sends body to path and decodes the response into reply; the error is ErrUnreachable or a *Refusal.
func (c *Client) Post(ctx context.Context, path string, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "cannot encode the request body")
	}
	return c.do(ctx, http.MethodPost, path, data, reply)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(ErrUnreachable, "%s: %v", c.address, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(ErrUnreachable, "%s: %v", c.address, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return eris.Wrapf(ErrUnreachable, "%s: %v", c.address, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return newRefusal(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return eris.Wrapf(ErrUnreachable, "%s: cannot decode the response: %v", c.address, err)
	}
	return nil
}

// newRefusal returns a Refusal with the decoded body, or with the text of status
// if the body is not an ErrorAnswer.
func newRefusal(status int, data []byte) error {
	r := &Refusal{Status: status}
	if json.Unmarshal(data, &r.Answer) != nil || r.Answer.Error == "" {
		r.Answer = dottermessage.ErrorAnswer{Error: http.StatusText(status)}
	}
	return r
}
