package dotterconnection

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// relay is a TCP proxy in front of a server. Connections opened before a call of
// silence stay open and their data is still acknowledged, but it is discarded.
type relay struct {
	listener net.Listener
	target   string
	accepted atomic.Int64

	mu    sync.Mutex
	conns []*relayedConn
}

// relayedConn is a relayed connection.
type relayedConn struct {
	callerSide, serverSide net.Conn
	silent                 atomic.Bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: listener, target: target}
	go r.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, c := range r.conns {
			_ = c.callerSide.Close()
			_ = c.serverSide.Close()
		}
	})
	return r
}

func (r *relay) accept() {
	for {
		callerSide, err := r.listener.Accept()
		if err != nil {
			return
		}
		serverSide, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = callerSide.Close()
			continue
		}
		r.accepted.Add(1)
		c := &relayedConn{callerSide: callerSide, serverSide: serverSide}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go c.copy(serverSide, callerSide)
		go c.copy(callerSide, serverSide)
	}
}

func (c *relayedConn) copy(to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if c.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if err != nil {
			_ = to.Close()
			return
		}
		_, _ = to.Write(buffer[:n])
	}
}

// silence makes the relay discard all further data of the connections that are open
// now.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.silent.Store(true)
	}
}

func (r *relay) host() dotterhost.Host {
	return dotterhost.Host{Name: "b1", Address: r.listener.Addr().String()}
}

// openConnections sends count requests concurrently, so that count connections are
// idle when they are answered. It closes gate once all have arrived.
func openConnections(t *testing.T, c *Client, s *scriptedServer, host dotterhost.Host, count int64, gate chan struct{}) {
	t.Helper()
	var callers sync.WaitGroup
	for range count {
		callers.Go(func() {
			_, err := sendAndRead(withTimeout(t, testTimeout), c, host, "opening")
			assert.NoError(t, err)
		})
	}
	require.Eventually(t, func() bool { return s.requests.Load() == count }, testTimeout, pollInterval)
	close(gate)
	callers.Wait()
}

// answerAfter returns a script that answers once gate is closed.
func answerAfter(gate chan struct{}) func(net.Conn, *http.Request, int64) {
	return func(c net.Conn, _ *http.Request, _ int64) {
		<-gate
		_, _ = io.WriteString(c, okAnswer("ok"))
	}
}

func TestSilentConnectionsLoseOnlyOneRequest(t *testing.T) {
	gate := make(chan struct{})
	s := newScriptedServer(t, answerAfter(gate))
	r := newRelay(t, s.listener.Addr().String())
	c, _ := newTestClient(t, Settings{ProbeIdleMillis: 60 * dotterclock.Second, ProbeTimeoutMillis: 50, LateAnswerMillis: 50})
	openConnections(t, c, s, r.host(), 4, gate)
	r.silence()
	_, err := sendAndRead(withTimeout(t, 50*time.Millisecond), c, r.host(), "lost")
	require.ErrorIs(t, err, dotterelusher.ErrBackendIndeterminate)
	for range 8 {
		_, err := sendAndRead(withTimeout(t, testTimeout), c, r.host(), "after")
		require.NoError(t, err)
	}
	assert.EqualValues(t, 4+8, s.requests.Load())
}

func TestLongIdleConnectionIsProbedBeforeUse(t *testing.T) {
	gate := make(chan struct{})
	s := newScriptedServer(t, answerAfter(gate))
	r := newRelay(t, s.listener.Addr().String())
	c, permits := newTestClient(t, Settings{ProbeIdleMillis: 1, ProbeTimeoutMillis: 50, LateAnswerMillis: 50})
	openConnections(t, c, s, r.host(), 2, gate)
	r.silence()
	time.Sleep(5 * time.Millisecond)
	for range 4 {
		_, err := sendAndRead(withTimeout(t, testTimeout), c, r.host(), "after")
		require.NoError(t, err)
	}
	assert.EqualValues(t, 2+4, s.requests.Load())
	require.Eventually(t, func() bool {
		_, free := permits.Slots("b1")
		return free == 8
	}, testTimeout, pollInterval)
}

func TestProbedConnectionThatAnswersIsKept(t *testing.T) {
	gate := make(chan struct{})
	s := newScriptedServer(t, answerAfter(gate))
	c, _ := newTestClient(t, Settings{ProbeIdleMillis: 1, ProbeTimeoutMillis: 20 * dotterclock.Second})
	openConnections(t, c, s, s.host(), 1, gate)
	for range 20 {
		time.Sleep(5 * time.Millisecond)
		_, err := sendAndRead(withTimeout(t, testTimeout), c, s.host(), "after")
		require.NoError(t, err)
	}
	assert.LessOrEqual(t, s.accepted.Load(), int64(4))
}
