package dotterlink

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Errors of a Client.
var (
	// ErrUnreachable means that the call was not sent.
	ErrUnreachable = eris.New("link: host unreachable")
	// ErrRefused means that the host is up but nothing listens at the address.
	ErrRefused = eris.New("link: connection refused")
	// ErrNoAnswer means that the call may have been carried out.
	ErrNoAnswer = eris.New("link: no answer")
	// ErrRemote means that the remote host answered the call with an error.
	ErrRemote = eris.New("link: call failed on the remote host")
)

// dialTimeout bounds the opening of a link; the latency between hosts is some milliseconds.
const dialTimeout = 400 * dotterclock.Millisecond

// Client calls other hosts. It is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	links map[string]*jsonrpc2.Conn // by address
}

// NewClient returns a client without open links.
func NewClient() *Client {
	return &Client{links: map[string]*jsonrpc2.Conn{}}
}

// Call calls method at address and decodes the answer into reply.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	link, err := c.link(ctx, address)
	if err != nil {
		return err
	}
	err = link.Call(ctx, method, args, reply)
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return eris.Wrap(ErrRemote, remote.Message)
	}
	c.closeLink(address, link)
	return eris.Wrap(ErrNoAnswer, err.Error())
}

// link returns the link to address and opens it if there is none.
func (c *Client) link(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	link, ok := c.links[address]
	c.mu.Unlock()
	if ok {
		select {
		case <-link.DisconnectNotify():
			c.closeLink(address, link)
		default:
			return link, nil
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout.Duration()}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, eris.Wrap(ErrRefused, address)
	}
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	stream := jsonrpc2.NewBufferedStream(conn, codec{})
	link = jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, handler{&Server{}}, discardLogs())
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.links[address]; ok {
		defer func() { _ = link.Close() }() // a concurrent call opened one first; nothing was sent on this link
		return other, nil
	}
	c.links[address] = link
	return link, nil
}

func (c *Client) closeLink(address string, link *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[address] == link {
		delete(c.links, address)
	}
	_ = link.Close() // the link is broken anyway
}

// Close closes all links.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, link := range c.links {
		_ = link.Close() // the process is exiting
		delete(c.links, address)
	}
}

// discardLogs keeps the library from writing to standard error.
func discardLogs() jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
}
