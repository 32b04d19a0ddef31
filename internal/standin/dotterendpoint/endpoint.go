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

// listenTimeout limits the retries while the kernel has not released the port yet.
const listenTimeout = 5 * dotterclock.Second

// ErrListen reports that the endpoint could not listen on its address.
var ErrListen = eris.New("endpoint: can't listen")

// Endpoint is an HTTP server that can be closed and reopened on the same port.
type Endpoint struct {
	handler http.Handler
	onState func(net.Conn, http.ConnState)

	mu          sync.Mutex
	address     string
	server      *http.Server
	reservation int // socket bound to the port while the endpoint is closed, or noSocket
	conns       map[net.Conn]*conn
}

// New returns a closed endpoint that listens on address once it is opened. If
// onState is not nil, it is called on each connection state change.
func New(address string, handler http.Handler, onState func(net.Conn, http.ConnState)) *Endpoint {
	return &Endpoint{
		handler:     handler,
		onState:     onState,
		address:     address,
		reservation: noSocket,
		conns:       map[net.Conn]*conn{},
	}
}

// Address returns the endpoint's address. Once the endpoint has been opened, it
// contains the actual port.
func (e *Endpoint) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Open starts serving. After Close it listens on the same address as before.
func (e *Endpoint) Open() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		return nil
	}
	releasePort(e.reservation)
	e.reservation = noSocket
	l, err := listen(e.address)
	if err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	e.address = l.Addr().String()
	e.server = &http.Server{
		Handler:   e.handler,
		ConnState: e.trackConn,
		ErrorLog:  log.New(io.Discard, "", 0),
	}
	go e.server.Serve(&listener{Listener: l, endpoint: e}) // returns on Close
	return nil
}

// Close stops listening and closes all connections. It keeps the port reserved
// so that no other process can bind it.
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
	if e.server == nil && e.reservation == noSocket {
		e.reservation = reservePort(e.address)
	}
}

// Silence permanently silences all open connections.
func (e *Endpoint) Silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		c.silent.Store(true)
	}
}

func (e *Endpoint) addConn(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns[c] = c
}

func (e *Endpoint) trackConn(c net.Conn, state http.ConnState) {
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
	deadline := time.Now().Add(listenTimeout.Duration())
	for {
		l, err := net.Listen("tcp", address)
		if err == nil || time.Now().After(deadline) {
			return l, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}
