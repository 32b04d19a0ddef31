package dotterconnection

import (
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

const sweepMillis dotterclock.Millis = 250

// Client sends requests to backend servers.
type Client struct {
	permits  dotterelusher.Permits
	clock    dotterelusher.Clock
	settings Settings
	dialer   *net.Dialer
	life     tomb.Tomb

	mu    sync.RWMutex
	pools map[poolKey]*pool

	ending sync.RWMutex // held for reading while a goroutine is added to life
	closed bool
}

var _ dotterelusher.BackendClient = (*Client)(nil)

// poolKey names a backend server's process: a new incarnation gets new connections.
type poolKey struct {
	name        string
	address     string
	incarnation int64
}

// New returns a running client; Close ends it.
func New(permits dotterelusher.Permits, clock dotterelusher.Clock, settings Settings) *Client {
	settings = settings.WithDefaults()
	c := &Client{
		permits:  permits,
		clock:    clock,
		settings: settings,
		dialer:   newDialer(settings),
		pools:    make(map[poolKey]*pool),
	}
	c.life.Go(c.sweepLoop)
	return c
}

// Send sends request to server once. The request's context bounds the whole
// exchange, its body included. The error is ErrBackendNotSent or a LostError.
func (c *Client) Send(server dotterhost.Host, request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	p := c.pool(server)
	k, err := p.take(ctx)
	if err != nil {
		return nil, err
	}
	e := &exchange{ctx: ctx, pool: p, connection: k, request: request}
	return e.run()
}

// Close closes idle connections and waits for what goes on in the background.
func (c *Client) Close() error {
	c.ending.Lock()
	c.closed = true
	c.ending.Unlock()
	c.life.Kill(nil)
	c.mu.Lock()
	pools := c.pools
	c.pools = make(map[poolKey]*pool)
	c.mu.Unlock()
	for _, p := range pools {
		p.close()
	}
	err := c.life.Wait()
	if err != nil {
		return eris.Wrap(err, "backend connections")
	}
	return nil
}

func (c *Client) pool(server dotterhost.Host) *pool {
	key := poolKey{name: server.Name, address: server.Address, incarnation: server.Incarnation}
	c.mu.RLock()
	p := c.pools[key]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p = c.pools[key]
	if p == nil {
		p = newPool(c, server)
		c.pools[key] = p
	}
	return p
}

// sweepLoop closes connections that are no longer wanted.
func (c *Client) sweepLoop() error {
	for {
		changed := c.permits.Changed()
		c.sweep()
		select {
		case <-changed:
		case <-c.clock.After(sweepMillis):
		case <-c.life.Dying():
			return nil
		}
	}
}

func (c *Client) sweep() {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, p := range c.pools {
		p.sweep(now)
		if p.forgotten(now) {
			delete(c.pools, key)
		}
	}
}

// background runs f in a goroutine that Close waits for.
func (c *Client) background(f func()) {
	c.ending.RLock()
	defer c.ending.RUnlock()
	if c.closed {
		go f()
		return
	}
	c.life.Go(func() error {
		f()
		return nil
	})
}

// wait waits for span or the client's end.
func (c *Client) wait(span dotterclock.Millis) {
	if span <= 0 {
		return
	}
	select {
	case <-c.clock.After(span):
	case <-c.life.Dying():
	}
}
