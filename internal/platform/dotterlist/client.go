package dotterlist

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterwire"
)

// readTimeout is the timeout of one read of the list.
const readTimeout = 2 * dotterclock.Second

var _ dotterelusher.HostList = (*Client)(nil)

// Client reads the platform's host list over HTTP.
type Client struct {
	address string
	caller  string
	http    *http.Client
}

// New returns a client of the host list at address (IP:port) that identifies itself as
// caller.
func New(address, caller string) *Client {
	return &Client{address: address, caller: caller, http: dotterwire.NewClient()}
}

// Hosts returns all hosts on the list, or ErrHostListUnavailable.
func (c *Client) Hosts(ctx context.Context) ([]dotterhost.Host, error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	var hosts []dotterhost.Host
	err := dotterwire.Fetch(bounded, c.http, "http://"+c.address+dotterwire.PathHosts, c.caller, &hosts)
	if err != nil {
		return nil, eris.Wrap(dotterelusher.ErrHostListUnavailable, err.Error())
	}
	return hosts, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}
