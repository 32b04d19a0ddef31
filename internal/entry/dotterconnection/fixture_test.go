package dotterconnection

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterfake"
)

const (
	patience = 30 * time.Second
	tick     = 2 * time.Millisecond
)

// scripted is a TCP server that answers each request with what script says.
type scripted struct {
	listener net.Listener
	script   func(c net.Conn, request *http.Request, number int64)
	requests atomic.Int64 // probes not counted
	accepted atomic.Int64
	open     atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

func newScripted(t *testing.T, script func(c net.Conn, request *http.Request, number int64)) *scripted {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scripted{listener: listener, script: script}
	go s.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		s.closeAll()
	})
	return s
}

func (s *scripted) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

func (s *scripted) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		s.open.Add(1)
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *scripted) serve(c net.Conn) {
	defer s.open.Add(-1)
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.Method == http.MethodHead {
			_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
			continue
		}
		s.script(c, request, s.requests.Add(1))
	}
}

func (s *scripted) host() dotterhost.Host {
	return dotterhost.Host{Name: "b1", Address: s.listener.Addr().String()}
}

// text returns an HTTP answer with body.
func text(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

// client returns a client with permits for slots and connections.
func client(t *testing.T, settings Settings) (*Client, *dotterfake.Permits) {
	t.Helper()
	permits := dotterfake.NewPermits(8, 8)
	c := New(permits, dotterclock.NewSystem(), settings)
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	return c, permits
}

// post builds a request as callers' requests are: with an idempotency key.
func post(ctx context.Context, address, id string) *http.Request {
	r := dotterrequest.Request{
		ID:     id,
		Method: http.MethodPost,
		Path:   "/transfers",
		Header: http.Header{dotterrequest.HeaderIdempotencyKey: []string{id}},
		Body:   []byte("body of " + id),
	}
	return r.ForBackend(address).WithContext(ctx)
}

// exchangeOnce sends one request and returns the whole body.
func exchangeOnce(ctx context.Context, c *Client, host dotterhost.Host, id string) (string, error) {
	response, err := c.Send(host, post(ctx, host.Address, id))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func soon(t *testing.T, span time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), span)
	t.Cleanup(cancel)
	return ctx
}
