package dotterendpoint

import (
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// reopenSpan bounds the wait for a port that the kernel still holds.
const reopenSpan = 5 * dotterclock.Second

// ErrListen means that the endpoint's address can't be had.
var ErrListen = eris.New("endpoint: can't listen")

// Endpoint is an HTTP server on a loopback port that the kernel chose.
type Endpoint struct {
	handler http.Handler
	onState func(net.Conn, http.ConnState)

	mu      sync.Mutex
	address string
	server  *http.Server
	held    int // socket that holds the port while nothing listens
	conns   map[net.Conn]*conn
}

// New returns a closed endpoint that listens at address when it is opened. The
// optional onState learns of each connection's changes of state.
func New(address string, handler http.Handler, onState func(net.Conn, http.ConnState)) *Endpoint {
	return &Endpoint{
		handler: handler,
		onState: onState,
		address: address,
		held:    noHold,
		conns:   map[net.Conn]*conn{},
	}
}

// Address returns the address at which the endpoint listens, once it was opened.
func (e *Endpoint) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Open starts serving; after a Close it serves at the same address again.
func (e *Endpoint) Open() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		return nil
	}
	release(e.held)
	e.held = noHold
	l, err := listen(e.address)
	if err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	e.address = l.Addr().String()
	e.server = &http.Server{
		Handler:   e.handler,
		ConnState: e.track,
		ErrorLog:  log.New(io.Discard, "", 0),
	}
	go e.server.Serve(&listener{Listener: l, endpoint: e}) // ends with Close
	return nil
}

// Close stops listening and cuts every connection; nobody else gets the port.
func (e *Endpoint) Close() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server == nil {
		return
	}
	server.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil && e.held == noHold {
		e.held = hold(e.address)
	}
}

// Silence makes the connections that are open now go silent for good.
func (e *Endpoint) Silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		c.silent.Store(true)
	}
}

func (e *Endpoint) add(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns[c] = c
}

func (e *Endpoint) track(c net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}
	if e.onState != nil {
		e.onState(c, state)
	}
}

func listen(address string) (net.Listener, error) {
	end := time.Now().Add(reopenSpan.Duration())
	for {
		l, err := net.Listen("tcp", address)
		if err == nil || time.Now().After(end) {
			return l, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}
