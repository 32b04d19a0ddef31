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

// Client sends requests to backend servers. It keeps a pool of connections for each.
type Client struct {
	permits  dotterelusher.Permits
	clock    dotterelusher.Clock
	settings Settings
	dialer   *net.Dialer
	tomb     tomb.Tomb

	mu    sync.RWMutex
	pools map[poolKey]*pool

	closeMu sync.RWMutex // held for reading while a goroutine is added to tomb; guards closed
	closed  bool
}

var _ dotterelusher.BackendClient = (*Client)(nil)

// poolKey identifies one incarnation of a backend server, so that a restarted server
// gets new connections.
type poolKey struct {
	name        string
	address     string
	incarnation int64
}

// New returns a running client. Call Close to stop it.
func New(permits dotterelusher.Permits, clock dotterelusher.Clock, settings Settings) *Client {
	settings = settings.WithDefaults()
	c := &Client{
		permits:  permits,
		clock:    clock,
		settings: settings,
		dialer:   newDialer(settings),
		pools:    make(map[poolKey]*pool),
	}
	c.tomb.Go(c.sweepLoop)
	return c
}

// Send sends request to server once. The request's context limits the whole
// exchange, including the body of the answer. The error is an ErrBackendNotSent or
// a LostError.
func (c *Client) Send(server dotterhost.Host, request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	p := c.pool(server)
	conn, err := p.take(ctx)
	if err != nil {
		return nil, err
	}
	e := &exchange{ctx: ctx, pool: p, connection: conn, request: request}
	return e.run()
}

// Close closes idle connections and waits for background work to end.
func (c *Client) Close() error {
	c.closeMu.Lock()
	c.closed = true
	c.closeMu.Unlock()
	c.tomb.Kill(nil)
	c.mu.Lock()
	pools := c.pools
	c.pools = make(map[poolKey]*pool)
	c.mu.Unlock()
	for _, p := range pools {
		p.close()
	}
	err := c.tomb.Wait()
	if err != nil {
		return eris.Wrap(err, "backend connections")
	}
	return nil
}

// pool returns the pool of server, creating it if needed.
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

// sweepLoop closes unneeded connections, at an interval and whenever the permits
// change.
func (c *Client) sweepLoop() error {
	for {
		changed := c.permits.Changed()
		c.sweep()
		select {
		case <-changed:
		case <-c.clock.After(sweepMillis):
		case <-c.tomb.Dying():
			return nil
		}
	}
}

// sweep closes unneeded connections and removes expired pools.
func (c *Client) sweep() {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, p := range c.pools {
		p.sweep(now)
		if p.expired(now) {
			delete(c.pools, key)
		}
	}
}

// background runs f in a goroutine. Close waits for it, unless it is started after
// Close was called.
func (c *Client) background(f func()) {
	c.closeMu.RLock()
	defer c.closeMu.RUnlock()
	if c.closed {
		go f()
		return
	}
	c.tomb.Go(func() error {
		f()
		return nil
	})
}

// wait waits for delay, or until the client is closed.
func (c *Client) wait(delay dotterclock.Millis) {
	if delay <= 0 {
		return
	}
	select {
	case <-c.clock.After(delay):
	case <-c.tomb.Dying():
	}
}
